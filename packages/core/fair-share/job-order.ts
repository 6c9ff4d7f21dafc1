/** Comparison functions that sort waiting jobs. */
import type { JobState } from '../model/entities.js';

/** Orders jobs by the time at which they became startable, then by how long they have waited. */
export function byAge(a: JobState, b: JobState): number {
  return a.startableAt - b.startableAt || a.waitingOrder - b.waitingOrder;
}

/** Orders jobs by rank, the most urgent first, then by age. */
export function byRankAndAge(a: JobState, b: JobState): number {
  return a.rank - b.rank || byAge(a, b);
}
