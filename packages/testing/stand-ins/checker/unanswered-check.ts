/** Checks the rule that the service does not forget an accepted job: polls about it are answered. */
import type { WorldEvent } from '../events.js';
import type { Check, CheckContext } from './check.js';

/** A job is forgotten if its polls fail for this long while most polls of all jobs are answered. */
const UNANSWERED_WHILE_OTHERS_ANSWERED_S = 90;
/** A job is forgotten if its polls fail for this long after all faults have ended. */
const UNANSWERED_WITHOUT_FAULTS_S = 75;

/** Checks that the polls about each accepted job do not fail for long. */
export class UnansweredCheck implements Check {
  /** Send time of the first poll that failed since the last answer about the job, by job. */
  private readonly failingSince = new Map<string, number>();
  /** Recent polls of all jobs, and whether they were answered. */
  private recentPolls: { atS: number; answered: boolean }[] = [];

  constructor(private readonly context: CheckContext) {}

  onEvent(event: WorldEvent): void {
    if (event.kind !== 'answered' && event.kind !== 'unanswered') return;
    const { request } = event;
    const answered = event.kind === 'answered' && (event.status < 300 || event.status === 404);
    if (request.kind === 'poll') this.recentPolls.push({ atS: this.context.now(), answered });
    if (answered) this.failingSince.delete(request.job);
    else if (request.kind === 'poll' && !this.failingSince.has(request.job)) {
      this.failingSince.set(request.job, this.context.jobRecords.sendTime(request));
    }
  }

  onTick(): void {
    const now = this.context.now();
    this.recentPolls = this.recentPolls.filter(
      ({ atS }) => atS > now - UNANSWERED_WHILE_OTHERS_ANSWERED_S,
    );
    for (const [job, since] of this.failingSince) {
      const record = this.context.jobRecords.get(job);
      if (typeof record?.acceptedAt !== 'number' || record.finalAnswer !== null) continue;
      this.checkUnanswered(job, since, now);
    }
  }

  private checkUnanswered(job: string, since: number, now: number): void {
    const faultFreeSince = this.context.faultFreeSince() ?? Infinity;
    const withoutFaults = now - Math.max(since, faultFreeSince) >= UNANSWERED_WITHOUT_FAULTS_S;
    const whileOthersAnswered =
      now - since >= UNANSWERED_WHILE_OTHERS_ANSWERED_S && this.mostPollsAnswered();
    if (!withoutFaults && !whileOthersAnswered) return;
    const explanation = `no poll was answered since ${since.toFixed(3)} s`;
    this.context.recordViolation({ rule: 'forgotten', job, explanation });
  }

  private mostPollsAnswered(): boolean {
    const answered = this.recentPolls.filter((poll) => poll.answered).length;
    return answered > this.recentPolls.length / 2;
  }
}
