import type { Job } from '#wire';
import { ServiceCounter } from '../fair-share/service-counter.js';
import { requirementsKey } from '../placement/bin-packing.js';
import { type Dependencies, independent } from './job-dependencies.js';
import { noJobFailures } from '../failures/job-failures.js';
import type { JobState } from './model.js';
import type { JobReplicas } from './model.js';
import { TaskSet } from './task-set.js';
import type { UnrecordedChanges } from './unrecorded-changes.js';
import { WaitingJobs } from '../fair-share/waiting-jobs.js';

/** Tells whether jobs of a team and rank run on room that is there anyway. */
export type BestEffortTest = (job: Pick<Job, 'team' | 'rank'>) => boolean;

/** What a new job is beside its submission. */
export interface NewJobOptions {
  replicasOf?: (job: JobState) => JobReplicas | null;
  dependencies?: Dependencies;
}

/** The accepted jobs, their phases, and which of their tasks wait for a machine. */
export class JobRegistry {
  readonly waiting = new WaitingJobs();
  /** Jobs that are over and may still have a task somewhere. */
  private readonly ended = new Set<JobState>();
  private readonly byId = new Map<string, JobState>();
  private readonly withNewCounts = new Set<JobState>();

  constructor(
    private readonly halfLifeS: number,
    private readonly unrecorded: UnrecordedChanges,
    private readonly isBestEffort: BestEffortTest,
  ) {}

  /** The job, or undefined if it is not known or was removed. */
  get(id: string): JobState | undefined {
    return this.byId.get(id);
  }

  has(id: string): boolean {
    return this.byId.has(id);
  }

  /** All known jobs, those that are over but may have tasks somewhere included. */
  values(): IterableIterator<JobState> {
    return this.byId.values();
  }

  /** A job that is not known yet. Times are seconds of the steady clock. */
  add(
    job: Job,
    acceptedAt: number,
    phase: JobState['phase'],
    now: number,
    { replicasOf, dependencies = independent(job) }: NewJobOptions = {},
  ): JobState {
    const { hasOpenDependencies, rank } = dependencies;
    const state: JobState = {
      spec: job,
      rank,
      hasOpenDependencies,
      isBestEffort: this.isBestEffort({ team: job.team, rank }),
      replicas: null,
      requirementsKey: requirementsKey(job),
      acceptedAt,
      startableAt: acceptedAt,
      phase,
      done: new TaskSet(job.tasks),
      assignments: new Map(),
      returnedTasks: new Set(),
      scanFrom: 0,
      failures: noJobFailures(),
      backoffUntil: 0,
      tasksMoved: 0,
      service: new ServiceCounter(this.halfLifeS, now),
      waitingSince: now,
      waitingOrder: 0,
    };
    state.replicas = replicasOf?.(state) ?? null;
    this.byId.set(job.id, state);
    if (phase !== 'accepted') this.ended.add(state);
    else if (!hasOpenDependencies) this.waiting.add(state);
    return state;
  }

  /** All that the job awaits is done: its turn and its waiting time begin. */
  startable(job: JobState, now: number): void {
    if (!job.hasOpenDependencies) return;
    job.hasOpenDependencies = false;
    job.startableAt = now;
    this.joinQueueIfAnyWaits(job, now);
  }

  /** Another rank counts for the job; what is counted by rank is the caller's part. */
  changeRank(job: JobState, rank: number): void {
    const { team } = job.spec;
    this.waiting.change(job, () => {
      job.rank = rank;
      job.isBestEffort = this.isBestEffort({ team, rank });
    });
  }

  /** Notes a final phase. The job's tasks are stopped by the caller. */
  setFinalPhase(job: JobState, phase: 'cancelled' | 'done'): void {
    job.phase = phase;
    this.unrecorded.forgetJob(job.spec.id);
    this.waiting.delete(job);
    this.ended.add(job);
  }

  /** Removes jobs that are over and have no task left anywhere. */
  removeEnded(): void {
    for (const job of this.ended) {
      if (job.assignments.size > 0) continue;
      this.byId.delete(job.spec.id);
      this.ended.delete(job);
    }
  }

  /** How many of the job's tasks are done or run may have changed. */
  countsChanged(job: JobState): void {
    this.withNewCounts.add(job);
  }

  /** The open jobs whose counts may have changed since the last call. */
  takeCountsChanged(): JobState[] {
    const jobs = [...this.withNewCounts].filter(({ phase }) => phase === 'accepted');
    this.withNewCounts.clear();
    return jobs;
  }

  /** Open jobs that await others. */
  get jobsWithOpenDependencies(): number {
    let count = 0;
    for (const { phase, hasOpenDependencies } of this.byId.values()) {
      if (phase === 'accepted' && hasOpenDependencies) count++;
    }
    return count;
  }

  /** How many tasks wait for a machine. */
  waitingCount(job: JobState): number {
    if (job.phase !== 'accepted' || job.hasOpenDependencies) return 0;
    return Math.max(0, job.spec.tasks - job.done.size - job.assignments.size);
  }

  /** Up to `limit` tasks that wait for a machine, lowest first; they wait on until assigned. */
  waitingTasks(job: JobState, limit: number): number[] {
    const waits = (index: number) => !job.done.has(index) && !job.assignments.has(index);
    const found: number[] = [];
    for (const index of job.returnedTasks) {
      if (found.length === limit) return found;
      if (waits(index)) found.push(index);
      else job.returnedTasks.delete(index);
    }
    while (job.scanFrom < job.spec.tasks && !waits(job.scanFrom)) job.scanFrom++;
    for (let index = job.scanFrom; index < job.spec.tasks && found.length < limit; index++) {
      if (waits(index) && !job.returnedTasks.has(index)) found.push(index);
    }
    return found;
  }

  /** A task completed. The protocol completes a gang as one: one task done means all are. */
  markDone(job: JobState, index: number): void {
    if (job.phase !== 'accepted') return;
    if (job.spec.kind === 'gang') job.done.addAll();
    else if (!job.done.add(index)) return;
    this.countsChanged(job);
    if (job.done.size < job.spec.tasks) this.unrecorded.taskDone(job.spec.id, index);
    this.unrecorded.jobs.add(job.spec.id);
    this.leaveQueueIfNoneWaits(job);
  }

  /** After tasks got a machine or completed. */
  leaveQueueIfNoneWaits(job: JobState): void {
    if (this.waitingCount(job) === 0) this.waiting.delete(job);
  }

  /** After a task lost its machine. */
  joinQueueIfAnyWaits(job: JobState, now: number): void {
    this.waiting.placesChanged(job);
    if (this.waitingCount(job) === 0 || this.waiting.has(job)) return;
    job.waitingSince = now;
    this.waiting.add(job);
  }
}
