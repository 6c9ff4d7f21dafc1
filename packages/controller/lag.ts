import { pause, type Runtime } from '#wire';

/** Lag from which submissions are turned away: half of the second after which users would retry. */
const LAG_LIMIT_MS = 500;
/** What a lag counts for at the next look; looks are as far apart as the limit is long. */
const LAG_KEPT = 1 / 3;

/** Watches how late timers fire, which tells how far this process is behind with its work. */
export class LagMonitor {
  private lagMs = 0;

  constructor(private readonly runtime: Runtime) {}

  /**
   * Seconds until the lag will have passed if nothing is added, and up to as much again so that those
   * who are turned away do not come back together; null if the lag is bearable.
   */
  get overloadedForS(): number | null {
    if (this.lagMs <= LAG_LIMIT_MS) return null;
    return (this.lagMs / 1000) * (1 + this.runtime.random());
  }

  /** Watches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    while (!signal.aborted) {
      const before = clock.now();
      await pause(clock, LAG_LIMIT_MS, signal);
      const lagMs = (clock.now() - before) * 1000 - LAG_LIMIT_MS;
      // One look later a lag that is over turns nobody away.
      this.lagMs = Math.max(lagMs, this.lagMs * LAG_KEPT);
    }
  }
}
