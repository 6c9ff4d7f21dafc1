/** Events of the fleet's state, for statistics, logs and the capacity planner. */
import type { TaskRef } from '#wire';
import type { EndCause } from './end-cause.js';
import type { Assignment, JobState, Machine } from './entities.js';

/** How an assignment ended. */
export interface TaskEnd {
  assignment: Assignment;
  cause: EndCause;
  /** Whether the task wrote a checkpoint when it was stopped. */
  checkpointed: boolean;
}

/**
 * Called synchronously while the state changes: listeners must not change it themselves. Times are seconds of the
 * monotonic clock.
 */
export interface FleetListener {
  /** An assignment of a task ended. */
  taskEnded(end: TaskEnd, now: number): void;
  /** A task was first reported as running. */
  taskRunning(assignment: Assignment, now: number): void;
  /** The first heartbeat of a provisioned machine arrived. */
  machineUp(machine: Machine, now: number): void;
  /**
   * Tasks of the job failed on several machines and none succeeded. The job's retries are limited until one of its
   * tasks succeeds.
   */
  jobCrashLooping(job: JobState, now: number): void;
  /** A task of a crash-looping job succeeded. */
  jobRecovered(job: JobState, now: number): void;
  /** A machine is drained because tasks fail on it. */
  machineFaulty(machine: Machine, now: number): void;
  /** An attempt was found to run on a machine although no assignment names it there. */
  attemptUnexpected(machine: Machine, attempt: TaskRef, now: number): void;
  /** A job was done or cancelled. */
  jobClosed(job: JobState, now: number): void;
}

function noop(): void {
  // Events are ignored.
}

/** Ignores all events; for tests and simulations that need none. */
export const NO_LISTENER: FleetListener = {
  taskEnded: noop,
  taskRunning: noop,
  machineUp: noop,
  jobCrashLooping: noop,
  jobRecovered: noop,
  machineFaulty: noop,
  attemptUnexpected: noop,
  jobClosed: noop,
};
