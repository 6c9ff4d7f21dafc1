/** A table of all jobs, built from their records in the state service. */
import { Subject } from 'rxjs';
import { type DependencyChange, DependencyGraph, type Urgency } from '#dependencies';
import { decodeJob, type JobRecord, type PrefixCache } from '#store';
import type { Job, JobView, Phase } from '#wire';
import type { Cancellations } from '../peers/cancellations.js';
import { JobMemory } from './job-memory.js';
import { NamePool } from './name-pool.js';

/**
 * Maximum number of ended jobs whose full records are kept for the next leader: machine records may still refer to
 * them. Fewer are kept when memory is short.
 */
const MAX_RECENTLY_ENDED = 500;

/** The record of a job that has not ended. */
export interface OpenJob extends JobRecord {
  phase: 'accepted';
}

/** The data that is kept of an ended job. */
export interface EndedJob {
  id: string;
  phase: 'cancelled' | 'done';
  isService: boolean;
  tasks: number;
  /** Version of the job's record. */
  version: number;
}

/** A change of an open job that follows from its dependencies or dependents. */
export type DependencyEvent = Exclude<DependencyChange, { kind: 'cancelled' }>;

/** A change of a job that the table reports. */
export type JobEvent =
  /** The job's record is new or has changed, or the job is cancelled along with a dependency. */
  { kind: 'record'; record: JobRecord } | DependencyEvent;

/**
 * All jobs as the state service holds them, with the effects of their dependencies: a job is cancelled as soon as one
 * of its dependencies is, although its own record still has the phase `accepted`. Every controller keeps this table.
 */
export class JobTable {
  /** Emits all changes of jobs, in the order in which they are applied. */
  readonly events = new Subject<JobEvent>();
  private readonly records = new Map<string, OpenJob | EndedJob>();
  private readonly recentlyEnded = new Map<string, JobRecord>();
  private readonly names = new NamePool();
  private readonly taskCounts = new Map<string, { done: number; running: number }>();
  private readonly dependencies = new DependencyGraph({
    outcomeOf: (id) => this.outcomeOf(id),
    urgencyOf: (id) => this.ownUrgency(id),
  });

  constructor(
    /** Cache of the job records. */
    readonly cache: PrefixCache,
    private readonly cancellations: Cancellations,
    /** The memory that the jobs take. */
    readonly memory = new JobMemory(),
  ) {
    cache.changes.subscribe(({ value, version }) => {
      // Job keys are never removed: a final state must be kept.
      if (value !== undefined) this.apply(this.withSharedStrings(decodeJob(value, version)));
    });
  }

  private apply(record: JobRecord): void {
    const { phase } = record;
    if (isOpen(record)) this.applyOpen(record);
    else if (phase !== 'accepted') this.applyEnded(record, phase);
  }

  /** Replaces the record's strings by instances that other records share, so that each is in memory once. */
  private withSharedStrings(record: JobRecord): JobRecord {
    const { job } = record;
    const shared: Job = {
      ...job,
      class: this.names.share(job.class),
      team: this.names.share(job.team),
      image: this.names.share(job.image),
      zone: job.zone === null ? null : this.names.share(job.zone),
      types: job.types?.map((type) => this.names.share(type)) ?? null,
      awaits: job.awaits.map((id) => this.sharedId(id)),
    };
    return { ...record, job: shared };
  }

  private sharedId(id: string): string {
    const known = this.records.get(id);
    if (known === undefined) return this.dependencies.sharedId(id);
    return known.phase === 'accepted' ? known.job.id : known.id;
  }

  private applyOpen(record: OpenJob): void {
    const { id, awaits: dependencies } = record.job;
    const known = this.records.get(id);
    // The job was cancelled along with a dependency. That is final, whatever its own record says.
    if (known !== undefined && known.phase !== 'accepted') return;
    if (known !== undefined) this.memory.removeOpen(known.job);
    this.memory.addOpen(record.job);
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

  /** Cancels a job because one of its dependencies is cancelled. */
  private cancelWithDependency(id: string): void {
    const record = this.records.get(id);
    if (record?.phase !== 'accepted') return;
    const cancelled: JobRecord = { ...record, phase: 'cancelled' };
    this.recordEnded(cancelled, 'cancelled');
    this.events.next({ kind: 'record', record: cancelled });
  }

  private recordEnded(record: JobRecord, phase: EndedJob['phase']): void {
    const { job, version } = record;
    const { id, tasks } = job;
    const known = this.records.get(id);
    if (known?.phase === 'accepted') this.memory.removeOpen(known.job);
    if (known === undefined || known.phase === 'accepted') this.memory.addEnded();
    this.records.set(id, { id, phase, isService: job.kind === 'service', tasks, version });
    this.taskCounts.delete(id);
    this.keepEndedRecord(record);
  }

  private keepEndedRecord(record: JobRecord): void {
    const { id } = record.job;
    this.forgetEndedRecord(id);
    this.recentlyEnded.set(id, record);
    this.memory.addEndedRecord(record.job);
    for (const oldest of this.recentlyEnded.keys()) {
      if (this.recentlyEnded.size <= MAX_RECENTLY_ENDED && this.memory.canKeepEndedRecords) return;
      this.forgetEndedRecord(oldest);
    }
  }

  private forgetEndedRecord(id: string): void {
    const record = this.recentlyEnded.get(id);
    if (record === undefined) return;
    this.recentlyEnded.delete(id);
    this.memory.removeEndedRecord(record.job);
  }

  /** Returns the open or ended job; undefined if the table has no record of it. */
  get(id: string): OpenJob | EndedJob | undefined {
    return this.records.get(id);
  }

  /** Ids of all jobs, including ended ones. */
  ids(): IterableIterator<string> {
    return this.records.keys();
  }

  /** The full record of an open or recently ended job; others have to be read from the state service. */
  fullRecord(id: string): JobRecord | undefined {
    const known = this.records.get(id);
    return known?.phase === 'accepted' ? known : this.recentlyEnded.get(id);
  }

  /** Whether the job has dependencies that are not recorded as done. */
  hasOpenDependencies(id: string): boolean {
    return this.dependencies.hasOpenDependencies(id);
  }

  /** The dependencies of the job that are not recorded as done. */
  openDependenciesOf(id: string): string[] {
    return this.dependencies.openDependencies(id);
  }

  /** Urgency of the job: the most urgent of its own and those of its dependents. */
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

  /** Whether the job is cancelled or its cancellation was requested, so that its tasks are no longer needed. */
  isCancelled(id: string): boolean {
    return this.records.get(id)?.phase === 'cancelled' || this.cancellations.wasRequested(id);
  }

  /** Sets the leader's counts of done and running tasks of an open job, for `view`. */
  setTaskCounts(id: string, done: number, running: number): void {
    if (this.records.get(id)?.phase === 'accepted') this.taskCounts.set(id, { done, running });
  }

  /** Returns the view of a job that users get, with the phase names of the user API. */
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
