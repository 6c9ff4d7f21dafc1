/** Waiting buckets: like jobs that wait, in the order in which they are served. */
import type { Job } from '#wire';
import type { Amounts } from '../model/amounts.js';
import type { JobState } from '../model/entities.js';
import { membersOf } from '../model/replica-groups.js';
import { byAge } from './job-order.js';

/** A job that has no task anywhere. Its position among such jobs never changes, as all service decays alike. */
interface IdleEntry {
  job: JobState;
  /** See `ServiceCounter.idleSortKey`. */
  sortKey: number;
}

/**
 * Waiting jobs of one team and rank whose tasks differ at most in their need of processors and memory.
 * Those without a task anywhere are kept in order, least served first and then the oldest, so that a
 * round gets the next one without visiting the others. The rest, whose service grows all the time, are no
 * more than there are tasks on machines.
 */
export class WaitingBucket {
  /** Jobs without a task anywhere, least served first. */
  readonly idle: IdleEntry[] = [];
  /** Jobs that have tasks somewhere. */
  readonly active = new Set<JobState>();
  /** No task in the bucket needs less than this. */
  readonly minAmounts: Amounts;
  /** No task in the bucket needs more processors. */
  maxCpus: number;
  private readonly entries = new Map<JobState, IdleEntry>();

  /** The job that the bucket was made for; what it has in common with the others stands for all. */
  readonly sample: Job;
  /** Rank that counts for its jobs. */
  readonly rank: number;
  /** Whether its jobs are best-effort. */
  readonly isBestEffort: boolean;
  /** Members of each replica of its jobs; 1 if each task is by itself. */
  readonly members: number;

  constructor(sample: JobState) {
    this.sample = sample.spec;
    this.rank = sample.rank;
    this.isBestEffort = sample.isBestEffort;
    this.members = membersOf(sample);
    const { cpus, gpus, memory } = sample.spec;
    this.minAmounts = { cpus, gpus, memory };
    this.maxCpus = cpus;
  }

  /** Number of jobs. */
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

  /** To be called when a task of the job was assigned, or its assignment has ended. */
  assignmentsChanged(job: JobState): void {
    if (job.assignments.size > 0 === this.active.has(job)) return;
    this.remove(job);
    this.add(job);
  }

  /** All jobs, in no order. */
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

  /** The jobs that `neverServed` leaves out, in no order. */
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

  /** Where the entry is or belongs. */
  private positionOf(entry: IdleEntry): number {
    return this.firstIndexWhere((other) => compareIdle(other, entry) >= 0);
  }

  /** Index of the first entry for which `predicate` is true; it must be true for all after it, too. */
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
