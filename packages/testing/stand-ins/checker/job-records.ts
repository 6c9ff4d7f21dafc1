/** Records of the requests of users about their jobs, and of the answers. */
import type { Job } from '#wire';
import type { UserRequest, WorldEvent } from '../events.js';

/** What a user requested for a job, and how it was answered; times in seconds of the checker's clock. */
export interface JobRecord {
  readonly job: Job;
  readonly runnable: boolean;
  /** Time of the first answer that the job is accepted. */
  acceptedAt: number | null;
  cancelRequestedAt: number | null;
  /** The first answer that the job is done or cancelled. */
  finalAnswer: { phase: 'done' | 'aborted'; answeredAt: number } | null;
}

/** All jobs that users have submitted, and the send times of requests in flight. */
export class JobRecords {
  private readonly records = new Map<string, JobRecord>();
  private readonly sendTimes = new Map<UserRequest, number>();

  constructor(private readonly now: () => number) {}

  get(job: string): JobRecord | undefined {
    return this.records.get(job);
  }

  all(): Iterable<JobRecord> {
    return this.records.values();
  }

  /** All direct and indirect dependencies of the job. */
  dependenciesOf(job: string): JobRecord[] {
    const dependencies = new Set(this.get(job)?.job.awaits);
    // The iteration of a set also visits elements that are added meanwhile.
    for (const id of dependencies)
      for (const next of this.get(id)?.job.awaits ?? []) dependencies.add(next);
    return [...dependencies].map((id) => this.get(id)).filter((record) => record !== undefined);
  }

  /** When a request in flight was sent. */
  sendTime(request: UserRequest): number {
    return this.sendTimes.get(request) ?? this.now();
  }

  /** Records submissions, requests and cancellations. Called before the checks see the event. */
  recordRequest(event: WorldEvent): void {
    if (event.kind === 'asked') this.sendTimes.set(event.request, this.now());
    else if (event.kind === 'job-submitted') {
      const { job, runnable } = event;
      const initialState = { acceptedAt: null, cancelRequestedAt: null, finalAnswer: null };
      this.records.set(event.id, { job, runnable, ...initialState });
    } else if (event.kind === 'cancel-asked') {
      const record = this.records.get(event.job);
      if (record) record.cancelRequestedAt ??= this.now();
    }
  }

  /** Records an answer. Called after all checks have compared it with the earlier answers. */
  recordAnswer(event: WorldEvent): void {
    if (event.kind !== 'answered' && event.kind !== 'unanswered') return;
    this.sendTimes.delete(event.request);
    const record = this.records.get(event.request.job);
    if (event.kind !== 'answered' || event.status >= 300 || !record) return;
    record.acceptedAt ??= this.now();
    const { phase } = event;
    if (phase === 'done' || phase === 'aborted')
      record.finalAnswer ??= { phase, answeredAt: this.now() };
  }
}
