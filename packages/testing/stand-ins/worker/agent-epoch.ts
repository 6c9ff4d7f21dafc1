/** The agent epoch, fencing token and lease of a worker. */
import type { Clock, Timer } from '#wire';

/**
 * Decides which answers and commands a worker accepts, by its agent epoch, its lease and the highest
 * fencing token that it has seen. The lease keeps running while the machine hangs.
 */
export class AgentEpochState {
  private epoch = 1;
  private sequence = 0;
  private fencingToken = 0;
  /** When the latest answered heartbeat was sent, or the agent epoch began, whichever is later. */
  private renewedAt: number;
  private expiryTimer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly leaseS: number,
    /** Called when the lease has expired and the next agent epoch has begun. */
    private readonly onExpired: () => void,
    /** Called when a message carries a higher fencing token than all before. */
    private readonly onFencingToken: () => void,
  ) {
    this.renewedAt = clock.now();
    this.scheduleExpiryCheck();
  }

  get current(): number {
    return this.epoch;
  }

  get highestFencingToken(): number {
    return this.fencingToken;
  }

  nextSequence(): number {
    return ++this.sequence;
  }

  /** Returns whether the worker accepts the answer to a heartbeat. An accepted answer renews the lease. */
  admitAnswer(
    fencingToken: number | null,
    heartbeat: { agentEpoch: number; sentAt: number },
  ): boolean {
    if (heartbeat.agentEpoch !== this.epoch || !this.admitFencingToken(fencingToken)) return false;
    this.renewedAt = Math.max(this.renewedAt, heartbeat.sentAt);
    return true;
  }

  /** Returns whether the worker accepts a direct command. */
  admitCommand(command: { fencingToken: number; agentEpoch: number }): boolean {
    return command.agentEpoch === this.epoch && this.admitFencingToken(command.fencingToken);
  }

  close(): void {
    this.expiryTimer?.cancel();
  }

  private admitFencingToken(fencingToken: number | null): boolean {
    if (fencingToken === null || fencingToken < this.fencingToken) return false;
    const higher = fencingToken > this.fencingToken;
    this.fencingToken = fencingToken;
    if (higher) this.onFencingToken();
    return true;
  }

  /**
   * Sets a timer for the current expiry time. A renewal of the lease does not move the timer, so the expiry
   * time is checked again when the timer fires.
   */
  private scheduleExpiryCheck(): void {
    const leftS = this.renewedAt + this.leaseS - this.clock.now();
    this.expiryTimer = this.clock.setTimer(
      () => {
        this.checkExpiry();
      },
      leftS * 1000 + 1,
    );
  }

  private checkExpiry(): void {
    if (this.clock.now() - this.renewedAt > this.leaseS) {
      this.epoch++;
      this.renewedAt = this.clock.now();
      this.onExpired();
    }
    this.scheduleExpiryCheck();
  }
}
