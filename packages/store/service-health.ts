/** Tracks whether the state service answers the requests of this controller. */

/** Outcomes of the latest requests to the state service. All times are in seconds of the monotonic clock. */
export class ServiceHealth {
  /** Send time of the latest request that succeeded. */
  lastSuccessAt = -Infinity;
  /** Send time of the latest request that was refused or got no answer. */
  lastFailureAt = -Infinity;
  /** Send time of the first request that failed since the last success. */
  failingSince = Infinity;

  /** Whether the latest request with a known outcome failed. */
  get isFailing(): boolean {
    return this.lastFailureAt > this.lastSuccessAt;
  }

  /** Records the success of a request that was sent at `sentAt`. */
  recordSuccess(sentAt: number): void {
    this.lastSuccessAt = Math.max(this.lastSuccessAt, sentAt);
    if (this.lastSuccessAt > this.lastFailureAt) this.failingSince = Infinity;
  }

  /** Records that a request sent at `sentAt` was refused or got no answer. */
  recordFailure(sentAt: number): void {
    this.lastFailureAt = Math.max(this.lastFailureAt, sentAt);
    if (this.isFailing && this.failingSince === Infinity) this.failingSince = sentAt;
  }
}
