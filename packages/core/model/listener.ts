import type { Cause } from '#wire';
import type { Assignment, JobState, Machine } from './model.js';

/** How an assignment ended; `lost` is not reported but concluded (docs/safety.md, point 5). */
export interface TaskEnd {
  assignment: Assignment;
  cause: Cause | 'lost';
  /** The task's progress was saved when it was stopped. */
  checkpointed: boolean;
}

/**
 * What others may want to know when it happens, for statistics and logs. Called synchronously while
 * the state changes: listeners must not change it themselves. Times are seconds of the steady clock.
 */
export interface FleetListener {
  /** A task left its machine for good. */
  taskEnded(end: TaskEnd, now: number): void;
  /** A task was first seen to run. */
  taskRunning(assignment: Assignment, now: number): void;
  /** A rented machine reported for the first time. */
  machineUp(machine: Machine, now: number): void;
  /** Tasks of the job failed on several machines and none succeeded; it is limited until one does. */
  jobCrashLooping(job: JobState, now: number): void;
  /** A task of a suspect job succeeded. */
  jobRecovered(job: JobState, now: number): void;
  /** A machine is given back since tasks fail on it. */
  machineFaulty(machine: Machine, now: number): void;
  /** A job is over for its user: done or aborted. */
  jobClosed(job: JobState, now: number): void;
}

/** For tests and simulations that need none. */
export const NO_LISTENER: FleetListener = {
  taskEnded() {},
  taskRunning() {},
  machineUp() {},
  jobCrashLooping() {},
  jobRecovered() {},
  machineFaulty() {},
  jobClosed() {},
};
