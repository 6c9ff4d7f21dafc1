/** The start window: how long a task must be left running for its start to be of use. */

/** The platform's users count a start only if no command stops the task for so many seconds. */
const START_WINDOW_S = 30;

/** Whether a task that runs since `runningSince` (seconds of the steady clock) has outlived the window. */
export function isPastStartWindow(runningSince: number, now: number): boolean {
  return now - runningSince >= START_WINDOW_S;
}
