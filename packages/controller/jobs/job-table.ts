import { Subject } from 'rxjs';
import { type DependencyChange, DependencyGraph, type Urgency } from '#dependencies';
import type { JobView, Phase } from '#wire';
import type { Cancellations } from '../peers/cancellations.js';
import { decodeJob, JobRecord, PrefixCache } from '#store';

/** Jobs over whose full records are kept for an owner to come, whose machines' records may still name them. */
const RECENTLY_ENDED = 500;

export interface OpenJob extends JobRecord {
  phase: 'accepted';
}

/** What is kept of a job that is over. */
export interface EndedJob {
  phase: 'cancelled' | 'done';
  isService: boolean;
  tasks: number;
  version: number;
}

/**
 * All jobs as the state service holds them, and what follows for those that await others: one is aborted as
 * soon as a job that it needs is, though its own record goes on saying that it was accepted. Every controller
 * keeps this table.
 */
export class JobTable {
  private readonly records = new Map<string, OpenJob | EndedJob>();
  private readonly recentlyEnded = new Map<string, JobRecord>();
  private counts = new Map<string, { done: number; running: number }>();
  /** Records that are new or differ, also where only what follows from others does. */
  readonly changed = new Subject<JobRecord>();
  /** What the jobs that a job awaits, or that await it, make of it. */
  readonly dependencyChanged = new Subject<DependencyChange>();
  private readonly dependencies = new DependencyGraph({
    outcomeOf: (id) => this.outcomeOf(id),
    urgencyOf: (id) => this.ownUrgency(id),
  });

  constructor(
    readonly cache: PrefixCache,
    private readonly cancellations: Cancellations,
  ) {
    cache.changes.subscribe((event) => {
      // Job keys are never removed: a final state must be kept.
      if (event.value === undefined) return;
      const record = decodeJob(event.value, event.version);
      if (isOpen(record)) this.applyOpen(record);
      else this.applyEnded(record);
    });
  }

  private applyOpen(record: OpenJob): void {
    const { id, awaits } = record.job;
    const known = this.records.get(id);
    // Aborted with one that it needs: that is final, whatever its own record says.
    if (known !== undefined && known.phase !== 'accepted') return;
    this.records.set(id, record);
    const changes = known === undefined ? this.dependencies.accepted(id, awaits) : [];
    const isCancelled = changes.some(({ kind, job }) => kind === 'cancelled' && job === id);
    if (!isCancelled) this.changed.next(record);
    this.applyDependencyChanges(changes);
  }

  private applyEnded(record: JobRecord): void {
    const { job, phase, version } = record;
    if (phase === 'accepted') return;
    if (phase === 'cancelled') this.cancellations.addRecorded(job.id, version);
    this.recordEnded(record, phase);
    this.changed.next(record);
    this.applyDependencyChanges(
      this.dependencies.ended(job.id, phase === 'done' ? 'done' : 'cancelled'),
    );
  }

  private applyDependencyChanges(changes: DependencyChange[]): void {
    for (const change of changes) {
      if (change.kind === 'cancelled') this.cancelWithDependency(change.job);
      else this.dependencyChanged.next(change);
    }
  }

  /** A job that it needs is aborted, and so is it. */
  private cancelWithDependency(id: string): void {
    const record = this.records.get(id);
    if (record?.phase !== 'accepted') return;
    const cancelled: JobRecord = { ...record, phase: 'cancelled' };
    this.recordEnded(cancelled, 'cancelled');
    this.changed.next(cancelled);
  }

  private recordEnded(record: JobRecord, phase: EndedJob['phase']): void {
    const { job, version } = record;
    const isService = job.kind === 'service';
    this.records.set(job.id, { phase, isService, tasks: job.tasks, version });
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

  /** The job awaits others that are not recorded as done. */
  hasOpenDependencies(id: string): boolean {
    return this.dependencies.isWaiting(id);
  }

  /** What the job still awaits. */
  openDependenciesOf(id: string): string[] {
    return this.dependencies.awaitedBy(id);
  }

  /** How urgent the job is by itself and by those that need it. */
  urgencyOf(id: string): Urgency {
    return this.dependencies.urgencyOf(id);
  }

  private outcomeOf(id: string): 'done' | 'cancelled' | null {
    const phase = this.records.get(id)?.phase ?? 'accepted';
    if (phase === 'accepted') return null;
    return phase === 'done' ? 'done' : 'cancelled';
  }

  private ownUrgency(id: string): Urgency | null {
    const record = this.records.get(id);
    if (record?.phase !== 'accepted') return null;
    const { rank, deadlineS } = record.job;
    const dueAtMs = deadlineS === null ? Infinity : record.acceptedAtMs + deadlineS * 1000;
    return { rank, dueAtMs };
  }

  /** A user has cancelled it, or has asked for that; its tasks are of no use to anybody. */
  isCancelled(id: string): boolean {
    return this.records.get(id)?.phase === 'cancelled' || this.cancellations.wasRequested(id);
  }

  recordCounts(id: string, done: number, running: number): void {
    if (this.records.get(id)?.phase === 'accepted') this.counts.set(id, { done, running });
  }

  /** What a user is told of a job of the table. */
  view(id: string, record: OpenJob | EndedJob): JobView {
    if (record.phase === 'done') return { id, phase: 'done', done: record.tasks, running: 0 };
    const { done, running } = this.counts.get(id) ?? { done: 0, running: 0 };
    const phase: Phase =
      record.phase === 'cancelled' ? 'aborted' : running > 0 ? 'running' : 'pending';
    return { id, phase, done, running };
  }
}

function isOpen(record: JobRecord): record is OpenJob {
  return record.phase === 'accepted';
}
