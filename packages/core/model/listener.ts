/** Events of the fleet's state, for statistics, logs and the capacity planner. */
import type { EndCause } from './end-cause.js';
import type { Assignment, JobState, Machine } from './entities.js';

/** How an assignment ended. */
export interface TaskEnd {
  assignment: Assignment;
  cause: EndCause;
  /** The task wrote a checkpoint when it was stopped. */
  checkpointed: boolean;
}

/**
 * Called synchronously while the state changes: listeners must not change it themselves. Times are seconds of the
 * steady clock.
 */
export interface FleetListener {
  /** A task left its machine for good. */
  taskEnded(end: TaskEnd, now: number): void;
  /** A task was first seen to run. */
  taskRunning(assignment: Assignment, now: number): void;
  /** The first heartbeat of a provisioned machine came. */
  machineUp(machine: Machine, now: number): void;
  /** Tasks of the job failed on several machines and none succeeded; its retries are limited until one does. */
  jobCrashLooping(job: JobState, now: number): void;
  /** A task of a crash-looping job succeeded. */
  jobRecovered(job: JobState, now: number): void;
  /** A machine is drained since tasks fail on it. */
  machineFaulty(machine: Machine, now: number): void;
  /** A job is over for its user: done or cancelled. */
  jobClosed(job: JobState, now: number): void;
}

function noop(): void {
  // Nobody listens.
}

/** For tests and simulations that need no events. */
export const NO_LISTENER: FleetListener = {
  taskEnded: noop,
  taskRunning: noop,
  machineUp: noop,
  jobCrashLooping: noop,
  jobRecovered: noop,
  machineFaulty: noop,
  jobClosed: noop,
};
