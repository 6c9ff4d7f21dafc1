/** Counts repairs of replicas of several members. */

/** How often replicas were incomplete and for how long, since this controller started. */
export class ReplicaMetrics {
  private readonly byReason = new Map<string, number>();
  /** Seconds in which replicas were incomplete, of all and of the longest time. */
  private totalS = 0;
  private longestS = 0;

  /** Records that a replica is whole again, `tookS` seconds after its last whole generation ended. */
  recovered(reason: string, tookS: number): void {
    this.byReason.set(reason, (this.byReason.get(reason) ?? 0) + 1);
    this.totalS += tookS;
    this.longestS = Math.max(this.longestS, tookS);
  }

  /** Number of recoveries, by the reason for which the generation before had ended. */
  recoveries(): Record<string, number> {
    return Object.fromEntries(this.byReason);
  }

  /** Seconds from the end of one whole generation to the next. */
  brokenSeconds(): Record<string, number> {
    return { total: this.totalS, longest: this.longestS };
  }
}
