import type { Clock, Timer } from '#wire';

/**
 * Whom a worker obeys and for how long: its session, the highest token it has seen and its lease. The
 * lease runs on while the machine hangs.
 */
export class WorkerSession {
  private number = 1;
  private sequence = 0;
  private token = 0;
  /** When the last answered report was sent, or the session began. */
  private renewedAt: number;
  private expiry: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly leaseS: number,
    /** The lease has ended and the next session has begun. */
    private readonly onExpired: () => void,
    /** A higher token was seen. */
    private readonly onToken: () => void,
  ) {
    this.renewedAt = clock.now();
    this.planExpiry();
  }

  get current(): number {
    return this.number;
  }

  get highestToken(): number {
    return this.token;
  }

  nextSequence(): number {
    return ++this.sequence;
  }

  /** Whether the answer to a report is to be carried out; if so, it renews the lease. */
  admitAnswer(token: number | null, report: { session: number; sentAt: number }): boolean {
    if (report.session !== this.number || !this.admitToken(token)) return false;
    this.renewedAt = Math.max(this.renewedAt, report.sentAt);
    return true;
  }

  /** Whether a direct command is to be carried out. */
  admitCommand(command: { fencingToken: number; agentEpoch: number }): boolean {
    return command.agentEpoch === this.number && this.admitToken(command.fencingToken);
  }

  close(): void {
    this.expiry?.cancel();
  }

  private admitToken(token: number | null): boolean {
    if (token === null || token < this.token) return false;
    const higher = token > this.token;
    this.token = token;
    if (higher) this.onToken();
    return true;
  }

  /** Looks again when the lease would end, since answers only move that time. */
  private planExpiry(): void {
    const leftS = this.renewedAt + this.leaseS - this.clock.now();
    this.expiry = this.clock.setTimer(() => this.checkExpiry(), leftS * 1000 + 1);
  }

  private checkExpiry(): void {
    if (this.clock.now() - this.renewedAt > this.leaseS) {
      this.number++;
      this.renewedAt = this.clock.now();
      this.onExpired();
    }
    this.planExpiry();
  }
}
