/** How often replicas were broken and for how long, since this controller started. */
export class ReplicaMetrics {
  private readonly byReason = new Map<string, number>();
  private totalS = 0;
  private longestS = 0;

  /** A replica is whole again. */
  recovered(reason: string, tookS: number): void {
    this.byReason.set(reason, (this.byReason.get(reason) ?? 0) + 1);
    this.totalS += tookS;
    this.longestS = Math.max(this.longestS, tookS);
  }

  /** Number of times, by the reason for which the generation before had ended. */
  recoveries(): Record<string, number> {
    return Object.fromEntries(this.byReason);
  }

  /** Seconds from the end of one whole generation to the next. */
  brokenSeconds(): Record<string, number> {
    return { total: this.totalS, longest: this.longestS };
  }
}
