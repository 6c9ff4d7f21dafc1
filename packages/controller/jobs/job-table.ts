/** What a controller knows of all jobs by their records in the state service. */
import { Subject } from 'rxjs';
import { type DependencyChange, DependencyGraph, type Urgency } from '#dependencies';
import { decodeJob, type JobRecord, type PrefixCache } from '#store';
import type { JobView, Phase } from '#wire';
import type { Cancellations } from '../peers/cancellations.js';

/** Ended jobs whose full records are kept for the next leader: machines' records may still name them. */
const MAX_RECENTLY_ENDED = 500;

/** The record of a job that is not over. */
export interface OpenJob extends JobRecord {
  phase: 'accepted';
}

/** What is kept of a job that is over. */
export interface EndedJob {
  phase: 'cancelled' | 'done';
  isService: boolean;
  tasks: number;
  /** Version of its record. */
  version: number;
}

/** What jobs that depend on each other mean for one of them that stays open. */
export type DependencyEvent = Exclude<DependencyChange, { kind: 'cancelled' }>;

/** What has become known of a job. */
export type JobEvent =
  /** Its record is new or differs, or it is cancelled with a job on which it depends. */
  { kind: 'record'; record: JobRecord } | DependencyEvent;

/**
 * All jobs as the state service holds them, and what follows for those that depend on others: one is cancelled
 * as soon as a job on which it depends is, though its own record goes on saying that it was accepted. Every
 * controller keeps this table.
 */
export class JobTable {
  /** All that becomes known, in this order. */
  readonly events = new Subject<JobEvent>();
  private readonly records = new Map<string, OpenJob | EndedJob>();
  private readonly recentlyEnded = new Map<string, JobRecord>();
  private readonly taskCounts = new Map<string, { done: number; running: number }>();
  private readonly dependencies = new DependencyGraph({
    outcomeOf: (id) => this.outcomeOf(id),
    urgencyOf: (id) => this.ownUrgency(id),
  });

  constructor(
    /** The jobs' records. */
    readonly cache: PrefixCache,
    private readonly cancellations: Cancellations,
  ) {
    cache.changes.subscribe(({ value, version }) => {
      // Job keys are never removed: a final state must be kept.
      if (value !== undefined) this.apply(decodeJob(value, version));
    });
  }

  private apply(record: JobRecord): void {
    const { phase } = record;
    if (isOpen(record)) this.applyOpen(record);
    else if (phase !== 'accepted') this.applyEnded(record, phase);
  }

  private applyOpen(record: OpenJob): void {
    const { id, awaits: dependencies } = record.job;
    const known = this.records.get(id);
    // Cancelled with a job on which it depends: that is final, whatever its own record says.
    if (known !== undefined && known.phase !== 'accepted') return;
    this.records.set(id, record);
    const changes = known === undefined ? this.dependencies.recordAccepted(id, dependencies) : [];
    const isCancelled = changes.some(({ kind, job }) => kind === 'cancelled' && job === id);
    if (!isCancelled) this.events.next({ kind: 'record', record });
    this.applyDependencyChanges(changes);
  }

  private applyEnded(record: JobRecord, phase: EndedJob['phase']): void {
    const { job, version } = record;
    if (phase === 'cancelled') this.cancellations.addRecorded(job.id, version);
    this.recordEnded(record, phase);
    this.events.next({ kind: 'record', record });
    this.applyDependencyChanges(this.dependencies.recordEnded(job.id, phase));
  }

  private applyDependencyChanges(changes: DependencyChange[]): void {
    for (const change of changes) {
      if (change.kind === 'cancelled') this.cancelWithDependency(change.job);
      else this.events.next(change);
    }
  }

  /** A job on which it depends is cancelled, and so is it. */
  private cancelWithDependency(id: string): void {
    const record = this.records.get(id);
    if (record?.phase !== 'accepted') return;
    const cancelled: JobRecord = { ...record, phase: 'cancelled' };
    this.recordEnded(cancelled, 'cancelled');
    this.events.next({ kind: 'record', record: cancelled });
  }

  private recordEnded(record: JobRecord, phase: EndedJob['phase']): void {
    const { job, version } = record;
    const isService = job.kind === 'service';
    this.records.set(job.id, { phase, isService, tasks: job.tasks, version });
    this.taskCounts.delete(job.id);
    this.recentlyEnded.set(job.id, record);
    if (this.recentlyEnded.size <= MAX_RECENTLY_ENDED) return;
    const [oldest] = this.recentlyEnded.keys();
    this.recentlyEnded.delete(oldest);
  }

  /** What is known of the job; undefined if no record of it is. */
  get(id: string): OpenJob | EndedJob | undefined {
    return this.records.get(id);
  }

  /** Ids of all jobs, those that are over included. */
  ids(): IterableIterator<string> {
    return this.records.keys();
  }

  /** The full record of a job, also for some time after its end; else it is to be read from the state service. */
  fullRecord(id: string): JobRecord | undefined {
    const known = this.records.get(id);
    return known?.phase === 'accepted' ? known : this.recentlyEnded.get(id);
  }

  /** Whether the job depends on others that are not recorded as done. */
  hasOpenDependencies(id: string): boolean {
    return this.dependencies.hasOpenDependencies(id);
  }

  /** The jobs on which it depends and that are not recorded as done. */
  openDependenciesOf(id: string): string[] {
    return this.dependencies.openDependencies(id);
  }

  /** How urgent the job is by itself and by those that depend on it. */
  urgencyOf(id: string): Urgency {
    return this.dependencies.urgencyOf(id);
  }

  private outcomeOf(id: string): EndedJob['phase'] | null {
    const phase = this.records.get(id)?.phase ?? 'accepted';
    return phase === 'accepted' ? null : phase;
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

  /** Keeps how many tasks of an open job the leader counts as done and running, for `view`. */
  recordTaskCounts(id: string, done: number, running: number): void {
    if (this.records.get(id)?.phase === 'accepted') this.taskCounts.set(id, { done, running });
  }

  /** What a user is told of a job of the table, in the words of the wire. */
  view(id: string, record: OpenJob | EndedJob): JobView {
    if (record.phase === 'done') return { id, phase: 'done', done: record.tasks, running: 0 };
    const { done, running } = this.taskCounts.get(id) ?? { done: 0, running: 0 };
    const openPhase: Phase = running > 0 ? 'running' : 'pending';
    const phase: Phase = record.phase === 'cancelled' ? 'aborted' : openPhase;
    return { id, phase, done, running };
  }
}

function isOpen(record: JobRecord): record is OpenJob {
  return record.phase === 'accepted';
}
