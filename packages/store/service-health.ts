/** Whether the state service has served this controller of late. */

/** Outcomes of the requests to the state service. All times are steady seconds. */
export class ServiceHealth {
  /** When the last request that succeeded was sent. */
  lastSuccessAt = -Infinity;
  /** When the last request that was refused or unanswered was sent. */
  lastFailureAt = -Infinity;
  /** When the first request that failed since the last success was sent. */
  failingSince = Infinity;

  /** The newest request whose outcome is known was not served. */
  get isFailing(): boolean {
    return this.lastFailureAt > this.lastSuccessAt;
  }

  /** Records that a request which was sent then was served. */
  recordSuccess(sentAt: number): void {
    this.lastSuccessAt = Math.max(this.lastSuccessAt, sentAt);
    if (this.lastSuccessAt > this.lastFailureAt) this.failingSince = Infinity;
  }

  /** Records that a request which was sent then was refused or not answered. */
  recordFailure(sentAt: number): void {
    this.lastFailureAt = Math.max(this.lastFailureAt, sentAt);
    if (this.isFailing && this.failingSince === Infinity) this.failingSince = sentAt;
  }
}
