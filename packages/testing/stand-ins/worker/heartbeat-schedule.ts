/** When a worker sends heartbeats. */
import type { Runtime } from '#wire';

const LEAST_SPACING_S = 0.5;
/** A period is shorter or longer by up to this share. */
const PERIOD_SPREAD = 0.25;
const NEXT_NODE_DELAY_S = 1;
const REDIRECT_DELAY_S = 0.5;

/** When a worker sends its next heartbeat; seconds of the runtime's clock. */
export class HeartbeatSchedule {
  private lastSentAt = -Infinity;
  private periodicAt: number;
  /** After a failure or a redirection nothing else counts. */
  private retryAt: number | null = null;
  private changed = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly heartbeatIntervalS: number,
  ) {
    this.periodicAt = runtime.clock.now();
  }

  dueAt(): number {
    if (this.retryAt !== null) return this.retryAt;
    if (!this.changed) return this.periodicAt;
    return Math.min(this.periodicAt, this.lastSentAt + LEAST_SPACING_S);
  }

  /** The next heartbeat shows something new. */
  recordChange(): void {
    this.changed = true;
  }

  /** A heartbeat goes out now. */
  recordSent(): void {
    const spread = 1 + PERIOD_SPREAD * (2 * this.runtime.random() - 1);
    this.lastSentAt = this.runtime.clock.now();
    this.periodicAt = this.lastSentAt + this.heartbeatIntervalS * spread;
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
