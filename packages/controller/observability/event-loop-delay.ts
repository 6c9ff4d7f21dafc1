/** Measures how late the event loop of this process runs its timers, as a sign of overload. */
import { pause, type Runtime } from '#wire';

/** Event loop delay above which submissions are refused, in ms: half of the second after which users retry. */
const DELAY_LIMIT_MS = 500;
/** Factor by which a measured delay shrinks from one sample to the next; samples are `DELAY_LIMIT_MS` apart. */
const DELAY_DECAY = 1 / 3;

/** Samples the event loop delay: how late a timer fires. */
export class EventLoopDelayMonitor {
  private delayMs = 0;

  constructor(private readonly runtime: Runtime) {}

  /**
   * Seconds after which a refused user should retry: the present delay, which will have passed by then if no work is
   * added, plus a random time of up to the same length so that refused users do not retry together. Null if the
   * delay is within the limit.
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
      // After the decay, only a delay of over three times the limit still refuses submissions one sample later.
      this.delayMs = Math.max(delayMs, this.delayMs * DELAY_DECAY);
    }
  }
}
