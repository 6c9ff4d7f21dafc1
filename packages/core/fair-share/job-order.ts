/** The orders in which waiting jobs are compared. */
import type { JobState } from '../model/entities.js';

/** The job that became startable first, then the one that has waited longest. */
export function byAge(a: JobState, b: JobState): number {
  return a.startableAt - b.startableAt || a.waitingOrder - b.waitingOrder;
}

/** Jobs of the highest rank first, then the oldest. */
export function byRankAndAge(a: JobState, b: JobState): number {
  return a.rank - b.rank || byAge(a, b);
}
