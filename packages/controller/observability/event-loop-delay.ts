import { pause, type Runtime } from '#wire';

/** Lag from which submissions are turned away: half of the second after which users would retry. */
const DELAY_LIMIT_MS = 500;
/** What a lag counts for at the next look; looks are as far apart as the limit is long. */
const DELAY_DECAY = 1 / 3;

/** Watches how late timers fire, which tells how far this process is behind with its work. */
export class EventLoopDelayMonitor {
  private delayMs = 0;

  constructor(private readonly runtime: Runtime) {}

  /**
   * Seconds until the lag will have passed if nothing is added, and up to as much again so that those
   * who are turned away do not come back together; null if the lag is bearable.
   */
  get overloadedForS(): number | null {
    if (this.delayMs <= DELAY_LIMIT_MS) return null;
    return (this.delayMs / 1000) * (1 + this.runtime.random());
  }

  /** Watches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    while (!signal.aborted) {
      const before = clock.now();
      await pause(clock, DELAY_LIMIT_MS, signal);
      const delayMs = (clock.now() - before) * 1000 - DELAY_LIMIT_MS;
      // One look later a lag that is over turns nobody away.
      this.delayMs = Math.max(delayMs, this.delayMs * DELAY_DECAY);
    }
  }
}
