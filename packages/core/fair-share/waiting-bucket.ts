/** Groups similar waiting jobs and keeps them in the order in which they are served. */
import type { Job } from '#wire';
import type { Resources } from '../model/resources.js';
import type { JobState } from '../model/entities.js';
import { membersOf } from '../model/replica-groups.js';
import { byAge } from './job-order.js';

/** A job without any assigned task. The order of such jobs never changes, since all service has the same half-life. */
interface IdleEntry {
  job: JobState;
  /** See `ServiceCounter.idleSortKey`. */
  sortKey: number;
}

/**
 * Waiting jobs of one team and rank whose tasks differ at most in the processors and memory that they need. Jobs
 * without an assigned task are kept sorted, least served first and then the oldest, so that a scheduling round gets
 * the next one without visiting the others. Jobs with assigned tasks are not sorted, since their service grows all
 * the time; there are at most as many of them as there are tasks on machines.
 */
export class WaitingBucket {
  /** Jobs without any assigned task, least served first. */
  readonly idle: IdleEntry[] = [];
  /** Jobs with at least one assigned task, in no order. */
  readonly active = new Set<JobState>();
  /** Lower bounds of the amounts that a task in the bucket needs. */
  readonly minAmounts: Resources;
  /** Upper bound of the processors that a task in the bucket needs. */
  maxCpus: number;
  private readonly entries = new Map<JobState, IdleEntry>();

  /**
   * The job that the bucket was created for. All jobs of the bucket have its team, accelerators and constraints, and
   * are gangs if it is a gang.
   */
  readonly representative: Job;
  /** Effective rank of the bucket's jobs (`JobState.rank`). */
  readonly rank: number;
  /** Whether the bucket's jobs are best-effort. */
  readonly isBestEffort: boolean;
  /** Number of members of each replica of the bucket's jobs; 1 if a replica is a single task. */
  readonly membersPerReplica: number;

  constructor(firstJob: JobState) {
    this.representative = firstJob.spec;
    this.rank = firstJob.rank;
    this.isBestEffort = firstJob.isBestEffort;
    this.membersPerReplica = membersOf(firstJob);
    const { cpus, gpus, memory } = firstJob.spec;
    this.minAmounts = { cpus, gpus, memory };
    this.maxCpus = cpus;
  }

  /** Number of jobs in the bucket. */
  get size(): number {
    return this.idle.length + this.active.size;
  }

  /** Adds a job that has begun to wait. */
  add(job: JobState): void {
    const { cpus, memory } = job.spec;
    this.minAmounts.cpus = Math.min(this.minAmounts.cpus, cpus);
    this.minAmounts.memory = Math.min(this.minAmounts.memory, memory);
    this.maxCpus = Math.max(this.maxCpus, cpus);
    if (job.assignments.size > 0) this.active.add(job);
    else this.addIdle(job);
  }

  /** Removes a job that does not wait any more. */
  remove(job: JobState): void {
    if (!this.active.delete(job)) this.removeIdle(job);
  }

  /** To be called after a task of the job was assigned or an assignment of the job has ended. */
  assignmentsChanged(job: JobState): void {
    if (job.assignments.size > 0 === this.active.has(job)) return;
    this.remove(job);
    this.add(job);
  }

  /** All jobs of the bucket, in no order. */
  *jobs(): Generator<JobState> {
    for (const { job } of this.idle) yield job;
    yield* this.active;
  }

  /** Jobs that have never received service, the oldest first. */
  *neverServed(): Generator<JobState, undefined> {
    for (const { job, sortKey } of this.idle) {
      if (sortKey !== -Infinity) return;
      yield job;
    }
  }

  /** Jobs that have received service, in no order. */
  served(): JobState[] {
    const firstServed = this.firstIndexWhere((entry) => entry.sortKey !== -Infinity);
    return [...this.idle.slice(firstServed).map(({ job }) => job), ...this.active];
  }

  private addIdle(job: JobState): void {
    const entry = { job, sortKey: job.service.idleSortKey() };
    this.entries.set(job, entry);
    this.idle.splice(this.positionOf(entry), 0, entry);
  }

  private removeIdle(job: JobState): void {
    const entry = this.entries.get(job);
    if (!entry) return;
    this.entries.delete(job);
    this.idle.splice(this.positionOf(entry), 1);
  }

  /** Index in `idle` at which the entry is or would be inserted. */
  private positionOf(entry: IdleEntry): number {
    return this.firstIndexWhere((other) => compareIdle(other, entry) >= 0);
  }

  /**
   * Index in `idle` of the first entry for which `predicate` is true, by binary search. The predicate must be true for
   * all later entries as well.
   */
  private firstIndexWhere(predicate: (entry: IdleEntry) => boolean): number {
    let low = 0;
    let high = this.idle.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (predicate(this.idle[middle])) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

function compareIdle(a: IdleEntry, b: IdleEntry): number {
  if (a.sortKey !== b.sortKey) return a.sortKey < b.sortKey ? -1 : 1;
  return byAge(a.job, b.job);
}
