import { Clock, pause } from '#wire';

/** Lag from which submissions are turned away: half of the second after which users would retry. */
const LAG_LIMIT_MS = 500;
/** What a lag counts for at the next look; looks are as far apart as the limit is long. */
const LAG_KEPT = 1 / 3;

/** Watches how late timers fire, which tells how far this process is behind with its work. */
export class LagMonitor {
  private lagMs = 0;

  constructor(private readonly clock: Clock) {}

  get overloaded(): boolean {
    return this.lagMs > LAG_LIMIT_MS;
  }

  /** Watches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const before = this.clock.now();
      await pause(this.clock, LAG_LIMIT_MS, signal);
      const lagMs = (this.clock.now() - before) * 1000 - LAG_LIMIT_MS;
      // One look later a lag that is over turns nobody away.
      this.lagMs = Math.max(lagMs, this.lagMs * LAG_KEPT);
    }
  }
}
