import { Subject } from 'rxjs';
import type { JobView, Phase } from '#wire';
import type { Cancellations } from './cancellations.js';
import { decodeJob, JobRecord, JOBS, PrefixCache } from '#store';

/** All jobs as the state service holds them; every controller keeps this table. */
export class JobTable {
  private readonly records = new Map<string, JobRecord>();
  private counts = new Map<string, { done: number; running: number }>();
  readonly changed = new Subject<JobRecord>();

  constructor(
    readonly cache: PrefixCache,
    private readonly cancellations: Cancellations,
  ) {
    cache.changes.subscribe((event) => {
      // Job keys are never removed: a final state must be kept.
      if (event.value === undefined) return;
      const record = decodeJob(event.value, event.version);
      this.records.set(event.key.slice(JOBS.length), record);
      if (record.phase === 'aborted') cancellations.noteRecorded(record.job.id, event.version);
      if (record.phase !== 'accepted') this.counts.delete(record.job.id);
      this.changed.next(record);
    });
  }

  get(id: string): JobRecord | undefined {
    return this.records.get(id);
  }

  all(): IterableIterator<JobRecord> {
    return this.records.values();
  }

  /** A user has cancelled it, or has asked for that; its tasks are of no use to anybody. */
  isCancelled(id: string): boolean {
    return this.records.get(id)?.phase === 'aborted' || this.cancellations.wasRequested(id);
  }

  noteCounts(id: string, done: number, running: number): void {
    if (this.records.get(id)?.phase === 'accepted') this.counts.set(id, { done, running });
  }

  view(record: JobRecord): JobView {
    const { id, tasks } = record.job;
    if (record.phase === 'done') return { id, phase: 'done', done: tasks, running: 0 };
    const { done, running } = this.counts.get(id) ?? { done: 0, running: 0 };
    const phase: Phase =
      record.phase === 'aborted' ? 'aborted' : running > 0 ? 'running' : 'pending';
    return { id, phase, done, running };
  }
}
