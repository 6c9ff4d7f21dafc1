/** The jobs of a shard, and which of their tasks wait for a machine. */
import type { Job } from '#wire';
import { WaitingJobs } from '../fair-share/waiting-jobs.js';
import { type Dependencies, withoutDependencies } from './job-dependencies.js';
import type { JobReplicas, JobState } from './entities.js';
import { newJobState } from './new-job.js';
import type { UnrecordedChanges } from './unrecorded-changes.js';
import { countWaitingTasks, findWaitingTasks } from './waiting-tasks.js';

/** Tells whether jobs of a team and rank run on spare capacity only. */
export type BestEffortPredicate = (job: Pick<Job, 'team' | 'rank'>) => boolean;

/** Optional properties of a new job that its submission does not contain. */
export interface NewJobOptions {
  /** Creates the job's replicas; omitted or returning null if its tasks run independently of each other. */
  replicasOf?: (job: JobState) => JobReplicas | null;
  /** The job's dependencies; if omitted, the job has neither dependencies nor dependents. */
  dependencies?: Dependencies;
}

/**
 * The accepted jobs, their phases, and which of their tasks wait for a machine. Times are seconds of the monotonic
 * clock.
 */
export class JobRegistry {
  /** Jobs with at least one waiting task. */
  readonly waiting = new WaitingJobs();
  /** Done and cancelled jobs that may still have assignments. */
  private readonly ended = new Set<JobState>();
  private readonly byId = new Map<string, JobState>();
  private readonly jobsWithChangedCounts = new Set<JobState>();

  constructor(
    private readonly halfLifeS: number,
    private readonly unrecorded: UnrecordedChanges,
    private readonly isBestEffort: BestEffortPredicate,
  ) {}

  /** The job, or undefined if it is not known or was removed. */
  get(id: string): JobState | undefined {
    return this.byId.get(id);
  }

  /** Whether the job is known. */
  has(id: string): boolean {
    return this.byId.has(id);
  }

  /** All known jobs, including done and cancelled ones that may still have assignments. */
  values(): IterableIterator<JobState> {
    return this.byId.values();
  }

  /** Adds a job that is not known yet. */
  add(
    job: Job,
    acceptedAt: number,
    phase: JobState['phase'],
    now: number,
    { replicasOf, dependencies = withoutDependencies(job) }: NewJobOptions = {},
  ): JobState {
    const isBestEffort = this.isBestEffort({ team: job.team, rank: dependencies.rank });
    const { halfLifeS } = this;
    const options = { job, dependencies, isBestEffort, acceptedAt, phase, halfLifeS };
    const state = newJobState(options, now);
    state.replicas = replicasOf?.(state) ?? null;
    this.byId.set(job.id, state);
    if (phase !== 'accepted') this.ended.add(state);
    else if (!state.hasOpenDependencies) this.waiting.add(state);
    return state;
  }

  /** Makes the job startable once all jobs that it depends on are done. Its waiting time begins now. */
  dependenciesDone(job: JobState, now: number): void {
    if (!job.hasOpenDependencies) return;
    job.hasOpenDependencies = false;
    job.startableAt = now;
    this.enqueueIfTasksWait(job, now);
  }

  /** Changes the job's effective rank. The caller updates the counts by rank. */
  changeRank(job: JobState, rank: number): void {
    const { team } = job.spec;
    this.waiting.change(job, () => {
      job.rank = rank;
      job.isBestEffort = this.isBestEffort({ team, rank });
    });
  }

  /** Sets a final phase. The caller stops the job's tasks. */
  setFinalPhase(job: JobState, phase: 'cancelled' | 'done'): void {
    job.phase = phase;
    this.unrecorded.forgetJob(job.spec.id);
    this.waiting.delete(job);
    this.ended.add(job);
  }

  /** Removes done and cancelled jobs that have no assignments left. */
  removeEnded(): void {
    for (const job of this.ended) {
      if (job.assignments.size > 0) continue;
      this.byId.delete(job.spec.id);
      this.ended.delete(job);
    }
  }

  /** Notes that the number of the job's done or running tasks may have changed. */
  countsChanged(job: JobState): void {
    this.jobsWithChangedCounts.add(job);
  }

  /** Returns the accepted jobs whose counts may have changed since the last call. */
  drainChangedCounts(): JobState[] {
    const jobs = [...this.jobsWithChangedCounts].filter(({ phase }) => phase === 'accepted');
    this.jobsWithChangedCounts.clear();
    return jobs;
  }

  /** How many accepted jobs have open dependencies. */
  get jobsWithOpenDependencies(): number {
    let count = 0;
    for (const { phase, hasOpenDependencies } of this.byId.values()) {
      if (phase === 'accepted' && hasOpenDependencies) count++;
    }
    return count;
  }

  /** How many tasks of the job wait for a machine. */
  waitingCount(job: JobState): number {
    return countWaitingTasks(job);
  }

  /** Up to `limit` tasks that wait for a machine. They remain waiting until they are assigned. */
  waitingTasks(job: JobState, limit: number): number[] {
    return findWaitingTasks(job, limit);
  }

  /** Marks a task as done. The protocol completes a gang as a whole: if one task is done, all are. */
  markDone(job: JobState, index: number): void {
    if (job.phase !== 'accepted') return;
    if (job.spec.kind === 'gang') job.done.addAll();
    else if (!job.done.add(index)) return;
    this.countsChanged(job);
    if (job.done.size < job.spec.tasks) this.unrecorded.taskDone(job.spec.id, index);
    this.unrecorded.jobs.add(job.spec.id);
    this.dequeueIfNoTaskWaits(job);
  }

  /** Removes the job from the queue if none of its tasks waits. Called after tasks were assigned or completed. */
  dequeueIfNoTaskWaits(job: JobState): void {
    if (countWaitingTasks(job) === 0) this.waiting.delete(job);
  }

  /** Adds the job to the queue if any of its tasks waits. Called after a task lost its machine or became startable. */
  enqueueIfTasksWait(job: JobState, now: number): void {
    this.waiting.assignmentsChanged(job);
    if (countWaitingTasks(job) === 0 || this.waiting.has(job)) return;
    job.waitingSince = now;
    this.waiting.add(job);
  }
}
