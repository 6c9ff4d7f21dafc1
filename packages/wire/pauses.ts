/** Ways to wait on a Clock, beside sleep and pause. */
import type { Clock, Timer } from './runtime.js';

/** Calls back once in every period until it is cancelled. */
export function every(clock: Clock, periodMs: number, callback: () => void): Timer {
  const tick = () => {
    timer = clock.setTimer(tick, periodMs);
    callback();
  };
  let timer = clock.setTimer(tick, periodMs);
  return { cancel: () => timer.cancel() };
}

/** Resolves once the signal has aborted. */
export function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), { once: true });
  });
}

/** The pause of a loop that others may wake; one wait at a time. */
export class WakeablePause {
  private finish: () => void = () => {};

  constructor(private readonly clock: Clock) {}

  /** Ends the wait that is under way, if any. */
  wake(): void {
    this.finish();
  }

  /** Resolves after so many milliseconds, on `wake` or when the signal aborts; never rejects. */
  wait(delayMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      this.finish = () => {
        timer.cancel();
        signal.removeEventListener('abort', this.finish);
        this.finish = () => {};
        resolve();
      };
      const timer = this.clock.setTimer(this.finish, delayMs);
      signal.addEventListener('abort', this.finish, { once: true });
    });
  }
}
