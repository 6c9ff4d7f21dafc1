/** When the load balancer removes a node and admits it again. */
import type { Clock } from '#wire';

const FAILURES_IN_A_ROW = 2;
const PROBES_REMEMBERED = 6;
const FAILURES_AMONG_REMEMBERED = 3;
const SUCCESSES_TO_RETURN = 2;
const FIRST_PAUSE_S = 3;
const LONGEST_PAUSE_S = 60;
/** A removal so soon after the one before doubles the pause. */
const REPEATED_WITHIN_S = 120;
/** A node that has just become healthy is brought up to its share over this time. */
const RAMP_S = 10;
const LEAST_SHARE = 0.1;
const FAILED_CONNECTIONS = 3;
const PASSED_OVER_S = 3;

/** The health of one node as the load balancer sees it. */
export class NodeHealth {
  private healthy = false;
  private everHealthy = false;
  private readonly recent: boolean[] = [];
  private pauseS = FIRST_PAUSE_S;
  private removedAt = -Infinity;
  private healthySince = -Infinity;
  private failedConnections = 0;
  private passedOverUntil = -Infinity;

  constructor(private readonly clock: Clock) {}

  get isHealthy(): boolean {
    return this.healthy;
  }

  /** Healthy, and its connections did not fail lately. */
  get isEligible(): boolean {
    return this.healthy && this.clock.now() >= this.passedOverUntil;
  }

  /** Fraction of its full share of new connections, from 0.1 to 1. */
  get share(): number {
    return Math.min(1, Math.max(LEAST_SHARE, (this.clock.now() - this.healthySince) / RAMP_S));
  }

  /** Records the outcome of a probe; true if the node has become unhealthy by it. */
  recordProbe(success: boolean): boolean {
    this.recent.push(success);
    if (this.recent.length > PROBES_REMEMBERED) this.recent.shift();
    if (this.healthy && this.failsNow()) {
      this.remove();
      return true;
    }
    if (!this.healthy && this.mayReturn()) this.readmit();
    return false;
  }

  /** Records whether the node accepted a connection. */
  recordConnection(accepted: boolean): void {
    this.failedConnections = accepted ? 0 : this.failedConnections + 1;
    if (this.failedConnections < FAILED_CONNECTIONS) return;
    this.failedConnections = 0;
    this.passedOverUntil = this.clock.now() + PASSED_OVER_S;
  }

  private failsNow(): boolean {
    const failures = this.recent.filter((success) => !success).length;
    const latest = this.recent.slice(-FAILURES_IN_A_ROW);
    const inARow = latest.length === FAILURES_IN_A_ROW && !latest.includes(true);
    return inARow || failures >= FAILURES_AMONG_REMEMBERED;
  }

  private remove(): void {
    const now = this.clock.now();
    const repeated = now - this.removedAt <= REPEATED_WITHIN_S;
    this.pauseS = repeated ? Math.min(LONGEST_PAUSE_S, this.pauseS * 2) : FIRST_PAUSE_S;
    this.removedAt = now;
    this.healthy = false;
  }

  private mayReturn(): boolean {
    if (!this.everHealthy) return this.recent.at(-1) === true;
    const latest = this.recent.slice(-SUCCESSES_TO_RETURN);
    const succeeds = latest.length === SUCCESSES_TO_RETURN && !latest.includes(false);
    return succeeds && this.clock.now() >= this.removedAt + this.pauseS;
  }

  /** Earlier failures no longer count, or it would be removed again at once. */
  private readmit(): void {
    this.healthy = true;
    this.everHealthy = true;
    this.healthySince = this.clock.now();
    this.recent.length = 0;
  }
}
