/** Whether the state service has served this controller of late. */

/** Outcomes of the requests to the state service. All times are steady seconds. */
export class ServiceHealth {
  /** When the last request that succeeded was sent. */
  lastOkAt = -Infinity;
  /** When the last request that was refused or unanswered was sent. */
  lastFailAt = -Infinity;
  /** When the first request that failed since the last success was sent. */
  failingSince = Infinity;

  /** The newest request whose outcome is known was not served. */
  get failing(): boolean {
    return this.lastFailAt > this.lastOkAt;
  }

  /** Records that a request which was sent then was served. */
  recordSuccess(sentAt: number): void {
    this.lastOkAt = Math.max(this.lastOkAt, sentAt);
    if (this.lastOkAt > this.lastFailAt) this.failingSince = Infinity;
  }

  /** Records that a request which was sent then was refused or not answered. */
  recordFailure(sentAt: number): void {
    this.lastFailAt = Math.max(this.lastFailAt, sentAt);
    if (this.failing && this.failingSince === Infinity) this.failingSince = sentAt;
  }
}
