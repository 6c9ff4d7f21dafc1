/** Decides when the load balancer removes a node and readmits it. */
import type { Clock } from '#wire';

const CONSECUTIVE_FAILURES_TO_REMOVE = 2;
const PROBE_WINDOW = 6;
const FAILURES_IN_WINDOW_TO_REMOVE = 3;
const SUCCESSES_TO_RETURN = 2;
const FIRST_PAUSE_S = 3;
const MAX_PAUSE_S = 60;
/** A removal within this time after the previous one doubles the pause before the node may return. */
const REPEATED_REMOVAL_S = 120;
/** Slow start: time over which the share of a node that became healthy grows to its full value. */
const SLOW_START_S = 10;
const MIN_SHARE = 0.1;
const FAILED_CONNECTIONS_TO_SKIP = 3;
const SKIP_S = 3;

/** Health of one node as the load balancer sees it. Times are seconds of the clock. */
export class NodeHealth {
  private healthy = false;
  private everHealthy = false;
  private readonly recentProbes: boolean[] = [];
  private pauseS = FIRST_PAUSE_S;
  private removedAt = -Infinity;
  private healthySince = -Infinity;
  private failedConnections = 0;
  private skippedUntil = -Infinity;

  constructor(private readonly clock: Clock) {}

  get isHealthy(): boolean {
    return this.healthy;
  }

  /** Whether the node is healthy and not skipped because of recent failed connections. */
  get isEligible(): boolean {
    return this.healthy && this.clock.now() >= this.skippedUntil;
  }

  /** Share of new connections, as a fraction of the full share, from 0.1 to 1. */
  get share(): number {
    return Math.min(1, Math.max(MIN_SHARE, (this.clock.now() - this.healthySince) / SLOW_START_S));
  }

  /** Records the outcome of a probe. Returns true if the node became unhealthy with it. */
  recordProbe(success: boolean): boolean {
    this.recentProbes.push(success);
    if (this.recentProbes.length > PROBE_WINDOW) this.recentProbes.shift();
    if (this.healthy && this.isFailing()) {
      this.remove();
      return true;
    }
    if (!this.healthy && this.mayReturn()) this.readmit();
    return false;
  }

  /** Records whether the node accepted a connection. */
  recordConnection(accepted: boolean): void {
    this.failedConnections = accepted ? 0 : this.failedConnections + 1;
    if (this.failedConnections < FAILED_CONNECTIONS_TO_SKIP) return;
    this.failedConnections = 0;
    this.skippedUntil = this.clock.now() + SKIP_S;
  }

  private isFailing(): boolean {
    const failures = this.recentProbes.filter((success) => !success).length;
    const latest = this.recentProbes.slice(-CONSECUTIVE_FAILURES_TO_REMOVE);
    const consecutive = latest.length === CONSECUTIVE_FAILURES_TO_REMOVE && !latest.includes(true);
    return consecutive || failures >= FAILURES_IN_WINDOW_TO_REMOVE;
  }

  private remove(): void {
    const now = this.clock.now();
    const repeated = now - this.removedAt <= REPEATED_REMOVAL_S;
    this.pauseS = repeated ? Math.min(MAX_PAUSE_S, this.pauseS * 2) : FIRST_PAUSE_S;
    this.removedAt = now;
    this.healthy = false;
  }

  private mayReturn(): boolean {
    if (!this.everHealthy) return this.recentProbes.at(-1) === true;
    const latest = this.recentProbes.slice(-SUCCESSES_TO_RETURN);
    const succeeds = latest.length === SUCCESSES_TO_RETURN && !latest.includes(false);
    return succeeds && this.clock.now() >= this.removedAt + this.pauseS;
  }

  /** Makes the node healthy. Earlier probes are cleared, or their failures would remove the node again at once. */
  private readmit(): void {
    this.healthy = true;
    this.everHealthy = true;
    this.healthySince = this.clock.now();
    this.recentProbes.length = 0;
  }
}
