/** When a worker sends heartbeats. */
import type { Runtime } from '#wire';

const MIN_SPACING_S = 0.5;
/** A period is shorter or longer by up to this share. */
const PERIOD_JITTER = 0.25;
const NEXT_NODE_DELAY_S = 1;
const REDIRECT_DELAY_S = 0.5;

/** When a worker sends its next heartbeat; seconds of the runtime's clock. */
export class HeartbeatSchedule {
  private lastSentAt = -Infinity;
  private nextPeriodicAt: number;
  /** After a failure or a redirection nothing else counts. */
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

  /** The next heartbeat shows something new. */
  recordChange(): void {
    this.changed = true;
  }

  /** A heartbeat goes out now. */
  recordSent(): void {
    const factor = 1 + PERIOD_JITTER * (2 * this.runtime.random() - 1);
    this.lastSentAt = this.runtime.clock.now();
    this.nextPeriodicAt = this.lastSentAt + this.heartbeatIntervalS * factor;
    this.retryAt = null;
    this.changed = false;
  }

  /** The node gave no answer to go by: the next one is tried later. */
  afterFailure(): void {
    this.retryAt = this.runtime.clock.now() + NEXT_NODE_DELAY_S;
  }

  /** Another node was named. */
  afterRedirect(): void {
    this.retryAt = this.runtime.clock.now() + REDIRECT_DELAY_S * this.runtime.random();
  }
}
