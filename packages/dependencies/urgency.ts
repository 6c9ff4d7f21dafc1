/** The urgency of jobs: rank and due time. */

/** How urgent a job is. */
export interface Urgency {
  /** 0 is the most urgent rank. */
  rank: number;
  /** When the job should be done, in milliseconds since the epoch; Infinity if it has no deadline. */
  dueAtMs: number;
}

/** The more urgent of the two ranks together with the earlier of the two due times. */
export function combineUrgency(one: Urgency, other: Urgency): Urgency {
  return {
    rank: Math.min(one.rank, other.rank),
    dueAtMs: Math.min(one.dueAtMs, other.dueAtMs),
  };
}

/** Whether both ranks and both due times are equal. */
export function isSameUrgency(one: Urgency, other: Urgency): boolean {
  return one.rank === other.rank && one.dueAtMs === other.dueAtMs;
}
