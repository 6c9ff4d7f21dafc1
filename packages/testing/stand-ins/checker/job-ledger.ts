/** What users asked about their jobs and what they were told. */
import type { Job } from '#wire';
import type { UserRequest, WorldEvent } from '../events.js';

/** What a user did about a job and was told of it; times in seconds of the checker's clock. */
export interface JobRecord {
  readonly job: Job;
  readonly runnable: boolean;
  /** When the user was first told that it is accepted. */
  acceptedAt: number | null;
  cancelRequestedAt: number | null;
  /** The first final state that the user was told, and when. */
  finalAnswer: { phase: 'done' | 'aborted'; answeredAt: number } | null;
}

/** All jobs that users have submitted, and when each open request was sent. */
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

  /** All dependencies of the job, direct and indirect ones. */
  dependenciesOf(job: string): JobRecord[] {
    const dependencies = new Set(this.get(job)?.job.awaits);
    // What is added while the set is gone through is gone through as well.
    for (const id of dependencies)
      for (const next of this.get(id)?.job.awaits ?? []) dependencies.add(next);
    return [...dependencies].map((id) => this.get(id)).filter((record) => record !== undefined);
  }

  /** When an open request was sent. */
  sendTime(request: UserRequest): number {
    return this.sendTimes.get(request) ?? this.now();
  }

  /** Records what users do, before any check sees it. */
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

  /** Records what users were told, after all checks have compared it with what was known. */
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
