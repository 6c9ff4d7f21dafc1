/** Checks of the rules about the answers that users get. */
import type { Phase } from '#wire';
import type { UserRequest, WorldEvent } from '../events.js';
import type { Check, CheckContext } from './check.js';
import type { JobRecord } from './job-records.js';
import type { Rule } from './violation.js';

interface Answer {
  request: UserRequest;
  status: number;
  phase: Phase | null;
}

/** Compares each answer with the true state and with earlier answers about the same job. */
export class AnswerChecks implements Check {
  constructor(private readonly context: CheckContext) {}

  onEvent(event: WorldEvent): void {
    if (event.kind !== 'answered') return;
    const record = this.context.jobRecords.get(event.request.job);
    if (event.status >= 300) this.checkRefusal(event, record);
    else if (!record)
      this.recordViolation(
        'invented',
        event,
        `the service knows the job, although nobody submitted it`,
      );
    else if (!record.runnable)
      this.recordViolation('accepted_unfit', event, 'the job cannot run and must be refused');
    else this.checkPhase(event, record);
  }

  /**
   * Reports a 404, 400 or 422 about a job that the user knew to be accepted when sending the request,
   * and a permanent refusal of a job that can run.
   */
  private checkRefusal(answer: Answer, record: JobRecord | undefined): void {
    const { request, status } = answer;
    const isPermanent = request.kind === 'submit' && (status === 400 || status === 422);
    const acceptedAt = record?.acceptedAt ?? Infinity;
    if (acceptedAt > this.context.jobRecords.sendTime(request)) {
      const isWrong =
        isPermanent && record?.runnable && this.areDependenciesAccepted(record, request);
      if (isWrong) this.recordViolation('refused_fit', answer, 'the job can run');
      return;
    }
    if (status === 404 || isPermanent) {
      this.recordViolation('forgotten', answer, `accepted at ${acceptedAt.toFixed(3)} s`);
    }
  }

  /** Whether the user knew, when sending the request, that all dependencies were accepted. */
  private areDependenciesAccepted({ job }: JobRecord, request: UserRequest): boolean {
    const { jobRecords } = this.context;
    const acceptedAt = job.awaits.map((id) => jobRecords.get(id)?.acceptedAt ?? Infinity);
    return acceptedAt.every((atS) => atS <= jobRecords.sendTime(request));
  }

  private checkPhase(answer: Answer, record: JobRecord): void {
    const { phase } = answer;
    if (phase === 'done') this.checkDone(answer, record);
    if (phase === 'aborted' && !this.wasCancelled(record)) {
      this.recordViolation(
        'went_back',
        answer,
        'no user cancelled the job or one of its dependencies',
      );
    }
    const { finalAnswer } = record;
    if (finalAnswer === null || phase === finalAnswer.phase) return;
    const contradicts = phase === 'done' || phase === 'aborted';
    if (contradicts || finalAnswer.answeredAt <= this.context.jobRecords.sendTime(answer.request)) {
      const before = `${finalAnswer.phase} at ${finalAnswer.answeredAt.toFixed(3)} s`;
      this.recordViolation('went_back', answer, `an earlier answer was ${before}`);
    }
  }

  /** Whether a user has requested the cancellation of the job or of one of its dependencies. */
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
