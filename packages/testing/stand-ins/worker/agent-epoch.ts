/** The agent epoch, fencing token and lease of a worker. */
import type { Clock, Timer } from '#wire';

/**
 * Whom a worker obeys and for how long: its agent epoch, the highest fencing token it has seen and its
 * lease. The lease runs on while the machine hangs.
 */
export class AgentEpochState {
  private epoch = 1;
  private sequence = 0;
  private fencingToken = 0;
  /** When the last answered heartbeat was sent, or the agent epoch began. */
  private renewedAt: number;
  private expiryTimer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly leaseS: number,
    /** The lease has expired and the next agent epoch has begun. */
    private readonly onExpired: () => void,
    /** A higher fencing token was seen. */
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

  /** Whether the answer to a heartbeat is to be carried out; if so, it renews the lease. */
  admitAnswer(
    fencingToken: number | null,
    heartbeat: { agentEpoch: number; sentAt: number },
  ): boolean {
    if (heartbeat.agentEpoch !== this.epoch || !this.admitFencingToken(fencingToken)) return false;
    this.renewedAt = Math.max(this.renewedAt, heartbeat.sentAt);
    return true;
  }

  /** Whether a direct command is to be carried out. */
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

  /** Checks again when the lease would expire, since answers only move that time. */
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
