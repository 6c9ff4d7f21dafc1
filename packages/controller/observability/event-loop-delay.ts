/** Measures how far this process is behind with its work. */
import { pause, type Runtime } from '#wire';

/** Delay above which submissions are refused, in ms: half of the second after which users would retry. */
const DELAY_LIMIT_MS = 500;
/** Share of a delay that still counts at the next sample; samples are `DELAY_LIMIT_MS` apart. */
const DELAY_DECAY = 1 / 3;

/** Samples how late timers fire. */
export class EventLoopDelayMonitor {
  private delayMs = 0;

  constructor(private readonly runtime: Runtime) {}

  /**
   * Seconds until the delay will have passed if nothing is added, and up to as much again so that users
   * who are refused do not retry together; null if the delay is within the limit.
   */
  get overloadedForS(): number | null {
    if (this.delayMs <= DELAY_LIMIT_MS) return null;
    return (this.delayMs / 1000) * (1 + this.runtime.random());
  }

  /** Takes samples until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.runtime;
    while (!signal.aborted) {
      const startedAt = clock.now();
      await pause(clock, DELAY_LIMIT_MS, signal);
      const delayMs = (clock.now() - startedAt) * 1000 - DELAY_LIMIT_MS;
      // A delay that is over refuses nobody from the next sample on, unless it was a very long one.
      this.delayMs = Math.max(delayMs, this.delayMs * DELAY_DECAY);
    }
  }
}
