/** Rules about what users are told. */
import type { Phase } from '#wire';
import type { UserRequest, WorldEvent } from '../events.js';
import type { Check, CheckContext } from './check.js';
import type { JobRecord } from './job-ledger.js';
import type { Rule } from './violation.js';

interface Answer {
  request: UserRequest;
  status: number;
  phase: Phase | null;
}

/** Compares each answer with what is true and with what the user was told before. */
export class AnswerChecks implements Check {
  constructor(private readonly context: CheckContext) {}

  onEvent(event: WorldEvent): void {
    if (event.kind !== 'answered') return;
    const record = this.context.jobRecords.get(event.request.job);
    if (event.status >= 300) this.checkRefusal(event, record);
    else if (!record)
      this.recordViolation('invented', event, `nobody submitted it, and it is called known`);
    else if (!record.runnable) this.recordViolation('accepted_unfit', event, 'it must be refused');
    else this.checkPhase(event, record);
  }

  /** A 404, 400 or 422 for a job whose acceptance the user knew when asking. */
  private checkRefusal(answer: Answer, record: JobRecord | undefined): void {
    const { request, status } = answer;
    const isPermanent = request.kind === 'submit' && (status === 400 || status === 422);
    const acceptedAt = record?.acceptedAt ?? Infinity;
    if (acceptedAt > this.context.jobRecords.sendTime(request)) {
      const isWrong =
        isPermanent && record?.runnable && this.areDependenciesAccepted(record, request);
      if (isWrong) this.recordViolation('refused_fit', answer, 'it can run');
      return;
    }
    if (status === 404 || isPermanent) {
      this.recordViolation('forgotten', answer, `accepted at ${acceptedAt.toFixed(3)} s`);
    }
  }

  /** The user knew that all dependencies of the job were accepted when the request was sent. */
  private areDependenciesAccepted({ job }: JobRecord, request: UserRequest): boolean {
    const { jobRecords } = this.context;
    const acceptedAt = job.awaits.map((id) => jobRecords.get(id)?.acceptedAt ?? Infinity);
    return acceptedAt.every((atS) => atS <= jobRecords.sendTime(request));
  }

  private checkPhase(answer: Answer, record: JobRecord): void {
    const { phase } = answer;
    if (phase === 'done') this.checkDone(answer, record);
    if (phase === 'aborted' && !this.wasCancelled(record)) {
      this.recordViolation('went_back', answer, 'its user did not cancel it');
    }
    const { finalAnswer } = record;
    if (finalAnswer === null || phase === finalAnswer.phase) return;
    const contradicts = phase === 'done' || phase === 'aborted';
    if (contradicts || finalAnswer.answeredAt <= this.context.jobRecords.sendTime(answer.request)) {
      const before = `${finalAnswer.phase} at ${finalAnswer.answeredAt.toFixed(3)} s`;
      this.recordViolation('went_back', answer, `it was called ${before}`);
    }
  }

  /** Its user, or that of one of its dependencies, has asked for it. */
  private wasCancelled({ job, cancelRequestedAt }: JobRecord): boolean {
    const dependencies = this.context.jobRecords.dependenciesOf(job.id);
    return (
      cancelRequestedAt !== null || dependencies.some((each) => each.cancelRequestedAt !== null)
    );
  }

  private checkDone(answer: Answer, { job }: JobRecord): void {
    const completed = this.context.state.completedTasks(job.id).size;
    if (job.kind !== 'service' && completed >= job.tasks) return;
    this.recordViolation('not_done', answer, `${completed} of ${job.tasks} tasks have completed`);
  }

  private recordViolation(rule: Rule, { request, status, phase }: Answer, reason: string): void {
    const sentAt = this.context.jobRecords.sendTime(request).toFixed(3);
    const answer = phase === null ? `${status}` : `${status} ${phase}`;
    const explanation = `${request.kind} sent at ${sentAt} s is answered ${answer}: ${reason}`;
    this.context.recordViolation({ rule, job: request.job, explanation });
  }
}
