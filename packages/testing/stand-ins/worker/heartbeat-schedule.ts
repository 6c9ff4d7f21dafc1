/** Timing of the heartbeats of a worker. */
import type { Runtime } from '#wire';

const MIN_SPACING_S = 0.5;
/** Largest random change of the heartbeat interval, as a share of the interval. */
const PERIOD_JITTER = 0.25;
const NEXT_NODE_DELAY_S = 1;
const REDIRECT_DELAY_S = 0.5;

/** Computes when a worker sends its next heartbeat, in seconds of the monotonic clock. */
export class HeartbeatSchedule {
  private lastSentAt = -Infinity;
  private nextPeriodicAt: number;
  /** When to retry after a failure or a redirect; overrides the other times. */
  private retryAt: number | null = null;
  private changed = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly heartbeatIntervalS: number,
  ) {
    this.nextPeriodicAt = runtime.clock.now();
  }

  dueAt(): number {
    if (this.retryAt !== null) return this.retryAt;
    if (!this.changed) return this.nextPeriodicAt;
    return Math.min(this.nextPeriodicAt, this.lastSentAt + MIN_SPACING_S);
  }

  /** Makes the next heartbeat due early, because its content has changed. */
  recordChange(): void {
    this.changed = true;
  }

  /** Schedules the next periodic heartbeat, after one was sent. */
  recordSent(): void {
    const factor = 1 + PERIOD_JITTER * (2 * this.runtime.random() - 1);
    this.lastSentAt = this.runtime.clock.now();
    this.nextPeriodicAt = this.lastSentAt + this.heartbeatIntervalS * factor;
    this.retryAt = null;
    this.changed = false;
  }

  /** Schedules a retry at the next node, after a node gave no usable answer. */
  afterFailure(): void {
    this.retryAt = this.runtime.clock.now() + NEXT_NODE_DELAY_S;
  }

  /** Schedules a retry at the node that a redirect named. */
  afterRedirect(): void {
    this.retryAt = this.runtime.clock.now() + REDIRECT_DELAY_S * this.runtime.random();
  }
}
