import type { Job } from '#wire';
import { ServiceCounter } from './service-counter.js';
import { requirementsKey } from './fit.js';
import type { JobState } from './model.js';
import { TaskSet } from './task-set.js';
import type { UnrecordedChanges } from './unrecorded-changes.js';

/** The accepted jobs, their phases, and which of their tasks wait for a machine. */
export class JobRegistry {
  /** Jobs with tasks that wait for a machine, longest in this state first. */
  readonly waiting = new Set<JobState>();
  private readonly byId = new Map<string, JobState>();

  constructor(
    private readonly halfLifeS: number,
    private readonly unrecorded: UnrecordedChanges,
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
  add(job: Job, acceptedAt: number, phase: JobState['phase'], now: number): JobState {
    const state: JobState = {
      spec: job,
      requirementsKey: requirementsKey(job),
      acceptedAt,
      phase,
      done: new TaskSet(job.tasks),
      assignments: new Map(),
      returnedTasks: new Set(),
      scanFrom: 0,
      failures: 0,
      backoffUntil: 0,
      service: new ServiceCounter(this.halfLifeS, now),
      waitingSince: now,
    };
    this.byId.set(job.id, state);
    if (phase === 'accepted') this.waiting.add(state);
    return state;
  }

  /** Notes a final phase. The job's tasks are stopped by the caller. */
  setFinalPhase(job: JobState, phase: 'aborted' | 'done'): void {
    job.phase = phase;
    this.unrecorded.jobOver(job.spec.id);
    this.waiting.delete(job);
  }

  /** Removes jobs that are over and have no task left anywhere. */
  removeEnded(): void {
    for (const [id, job] of this.byId) {
      if (job.phase !== 'accepted' && job.assignments.size === 0) this.byId.delete(id);
    }
  }

  /** How many tasks wait for a machine. */
  waitingCount(job: JobState): number {
    if (job.phase !== 'accepted') return 0;
    return Math.max(0, job.spec.tasks - job.done.size - job.assignments.size);
  }

  /** Up to `limit` tasks that wait for a machine, lowest first; they wait on until assigned. */
  waitingTasks(job: JobState, limit: number): number[] {
    const waits = (index: number) => !job.done.has(index) && !job.assignments.has(index);
    const found: number[] = [];
    for (const index of job.returnedTasks) {
      if (!waits(index)) job.returnedTasks.delete(index);
      else if (found.length < limit) found.push(index);
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
    if (this.waitingCount(job) === 0 || this.waiting.has(job)) return;
    job.waitingSince = now;
    this.waiting.add(job);
  }
}
