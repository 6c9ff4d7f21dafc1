import { Subject } from 'rxjs';
import type { JobView, Phase } from '#wire';
import type { Cancellations } from './cancellations.js';
import { decodeJob, JobRecord, PrefixCache } from '#store';

/** Jobs over whose full records are kept for an owner to come, whose machines' records may still name them. */
const RECENTLY_ENDED = 500;

export interface OpenJob extends JobRecord {
  phase: 'accepted';
}

/** What is kept of a job that is over. */
export interface EndedJob {
  phase: 'aborted' | 'done';
  tasks: number;
  version: number;
}

/** All jobs as the state service holds them; every controller keeps this table. */
export class JobTable {
  private readonly records = new Map<string, OpenJob | EndedJob>();
  private readonly recentlyEnded = new Map<string, JobRecord>();
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
      if (isOpen(record)) this.records.set(record.job.id, record);
      else this.noteEnded(record);
      this.changed.next(record);
    });
  }

  private noteEnded(record: JobRecord): void {
    const { job, phase, version } = record;
    if (phase === 'accepted') return;
    this.records.set(job.id, { phase, tasks: job.tasks, version });
    if (phase === 'aborted') this.cancellations.noteRecorded(job.id, version);
    this.counts.delete(job.id);
    this.recentlyEnded.set(job.id, record);
    if (this.recentlyEnded.size <= RECENTLY_ENDED) return;
    const [oldest] = this.recentlyEnded.keys();
    this.recentlyEnded.delete(oldest);
  }

  get(id: string): OpenJob | EndedJob | undefined {
    return this.records.get(id);
  }

  /** Ids of all jobs, those that are over included. */
  ids(): IterableIterator<string> {
    return this.records.keys();
  }

  /** The full record of a job, also for some time after its end; else it is to be read anew. */
  fullRecord(id: string): JobRecord | undefined {
    const known = this.records.get(id);
    return known?.phase === 'accepted' ? known : this.recentlyEnded.get(id);
  }

  /** A user has cancelled it, or has asked for that; its tasks are of no use to anybody. */
  isCancelled(id: string): boolean {
    return this.records.get(id)?.phase === 'aborted' || this.cancellations.wasRequested(id);
  }

  noteCounts(id: string, done: number, running: number): void {
    if (this.records.get(id)?.phase === 'accepted') this.counts.set(id, { done, running });
  }

  /** What a user is told of a job of the table. */
  view(id: string, record: OpenJob | EndedJob): JobView {
    if (record.phase === 'done') return { id, phase: 'done', done: record.tasks, running: 0 };
    const { done, running } = this.counts.get(id) ?? { done: 0, running: 0 };
    const phase: Phase =
      record.phase === 'aborted' ? 'aborted' : running > 0 ? 'running' : 'pending';
    return { id, phase, done, running };
  }
}

function isOpen(record: JobRecord): record is OpenJob {
  return record.phase === 'accepted';
}
