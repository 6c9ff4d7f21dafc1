/** Counts the recoveries of replicas that have several members. */

/** Counts how often replicas were incomplete, and for how long, since this controller started. */
export class ReplicaMetrics {
  private readonly byReason = new Map<string, number>();
  /** Seconds for which replicas were incomplete: the sum, and the longest single time. */
  private totalS = 0;
  private longestS = 0;

  /** Records that a replica is complete again, `tookS` seconds after its last complete generation ended. */
  recovered(reason: string, tookS: number): void {
    this.byReason.set(reason, (this.byReason.get(reason) ?? 0) + 1);
    this.totalS += tookS;
    this.longestS = Math.max(this.longestS, tookS);
  }

  /** Number of recoveries, by the reason for which the previous generation ended. */
  recoveries(): Record<string, number> {
    return Object.fromEntries(this.byReason);
  }

  /** Seconds from the end of one complete generation to the start of the next: total and longest. */
  brokenSeconds(): Record<string, number> {
    return { total: this.totalS, longest: this.longestS };
  }
}
