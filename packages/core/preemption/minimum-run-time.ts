/** The minimum run time: how long a task must run after its start for that start to be of use. */

/** The platform's users count a start only if no command stops the task within this time, in seconds. */
const MINIMUM_RUN_TIME_S = 30;

/** Whether a task has run for the minimum time since `runningSince`. Times are seconds of the monotonic clock. */
export function hasRunMinimumTime(runningSince: number, now: number): boolean {
  return now - runningSince >= MINIMUM_RUN_TIME_S;
}
