/** How urgent jobs are, and which of two urgencies counts. */

/** How urgent a job is. */
export interface Urgency {
  /** 0 is the most urgent. */
  rank: number;
  /** When it should be done, in milliseconds of the time of day; Infinity if there is no deadline. */
  dueAtMs: number;
}

/** The more urgent of both in rank and in due time. */
export function combineUrgency(one: Urgency, other: Urgency): Urgency {
  return {
    rank: Math.min(one.rank, other.rank),
    dueAtMs: Math.min(one.dueAtMs, other.dueAtMs),
  };
}

/** Whether both are equally urgent in rank and in due time. */
export function isSameUrgency(one: Urgency, other: Urgency): boolean {
  return one.rank === other.rank && one.dueAtMs === other.dueAtMs;
}
