/** A clock whose timers can be held up. */
import type { Clock, Timer } from '#wire';

/** The clock of a machine that may hang: it runs on, but what its timers call waits meanwhile. */
export class FreezableClock implements Clock {
  private frozen = false;
  private deferredCallbacks: (() => void)[] = [];
  private readonly thawListeners: (() => void)[] = [];

  constructor(private readonly clock: Clock) {}

  now(): number {
    return this.clock.now();
  }

  wallMs(): number {
    return this.clock.wallMs();
  }

  setTimer(callback: () => void, delayMs: number): Timer {
    let cancelled = false;
    const run = () => {
      if (cancelled) return;
      if (this.frozen) this.deferredCallbacks.push(run);
      else callback();
    };
    const timer = this.clock.setTimer(run, delayMs);
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  get isFrozen(): boolean {
    return this.frozen;
  }

  freeze(): void {
    this.frozen = true;
  }

  /** Goes on: what came due meanwhile is called now, in its order. */
  thaw(): void {
    if (!this.frozen) return;
    this.frozen = false;
    for (const resolve of this.thawListeners.splice(0)) resolve();
    for (const callback of this.deferredCallbacks.splice(0)) callback();
  }

  /** Resolves once the machine does not hang. */
  async whenRunning(): Promise<void> {
    while (this.frozen) await new Promise<void>((resolve) => this.thawListeners.push(resolve));
  }
}
