/** A clock whose timer callbacks can be deferred. */
import type { Clock, Timer } from '#wire';

/** The clock of a machine that may hang. Time goes on while frozen, but timer callbacks wait for thaw(). */
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

  /** Calls the callbacks of all timers that fired while frozen, in order. */
  thaw(): void {
    if (!this.frozen) return;
    this.frozen = false;
    for (const resolve of this.thawListeners.splice(0)) resolve();
    for (const callback of this.deferredCallbacks.splice(0)) callback();
  }

  /** Resolves when the clock is not frozen. */
  async whenRunning(): Promise<void> {
    while (this.frozen) await new Promise<void>((resolve) => this.thawListeners.push(resolve));
  }
}
