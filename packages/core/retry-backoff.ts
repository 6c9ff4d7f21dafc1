import type { TaskEnd } from './listener.js';
import type { Assignment } from './model.js';

/** In report periods: how long a machine takes nothing new after a task failed or was refused there. */
const AVOID_AFTER_ERROR = 5;
const AVOID_AFTER_REFUSAL = 2;
/** In report periods: the longest wait of a job whose tasks fail, or are unknown to the workers. */
const LONGEST_WAIT_AFTER_ERROR = 32;
const LONGEST_WAIT_IF_UNKNOWN = 8;

/** Makes a job wait, longer after each failure, and its machine be avoided. */
export function noteFailure(
  assignment: Assignment,
  cause: TaskEnd['cause'],
  reportS: number,
  now: number,
): void {
  const { job, machine } = assignment;
  if (cause === 'error') {
    machine.taskErrors++;
    // The machine is the first suspect; a job that fails again and again waits longer each time.
    machine.avoidUntil = Math.max(machine.avoidUntil, now + AVOID_AFTER_ERROR * reportS);
    job.failures++;
    job.backoffUntil = now + reportS * doubling(job.failures, LONGEST_WAIT_AFTER_ERROR);
  } else if (cause === 'unknown') {
    job.failures++;
    job.backoffUntil = now + reportS * doubling(job.failures, LONGEST_WAIT_IF_UNKNOWN);
  } else if (cause === 'no_room' || cause === 'busy') {
    machine.avoidUntil = Math.max(machine.avoidUntil, now + AVOID_AFTER_REFUSAL * reportS);
  }
}

function doubling(failures: number, longest: number): number {
  return Math.min(longest, 2 ** (failures - 1));
}
