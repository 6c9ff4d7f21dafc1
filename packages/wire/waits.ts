/** Ways to wait on a Clock or a signal. */
import type { Clock, Timer } from './runtime.js';

/** Resolves after so many milliseconds of the clock; rejects with the signal's reason if it aborts. */
export function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) {
      reject(signal.reason as Error);
      return;
    }
    const onAbort = () => {
      timer.cancel();
      reject(signal?.reason as Error);
    };
    const timer = clock.setTimer(() => {
      signal?.removeEventListener('abort', onAbort);
      resolve();
    }, delayMs);
    signal?.addEventListener('abort', onAbort, { once: true });
  });
}

/** Like sleep, but a signal ends it early without an error. */
export async function pause(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  // The signal's reason is all that sleep rejects with.
  await sleep(clock, delayMs, signal).catch(() => undefined);
}

/** Calls back once in every period until it is cancelled. */
export function every(clock: Clock, periodMs: number, callback: () => void): Timer {
  const tick = () => {
    timer = clock.setTimer(tick, periodMs);
    callback();
  };
  let timer = clock.setTimer(tick, periodMs);
  return {
    cancel: () => {
      timer.cancel();
    },
  };
}

/** Resolves once the signal has aborted; never rejects. */
export function signalAborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    else {
      const onAbort = () => {
        resolve();
      };
      signal.addEventListener('abort', onAbort, { once: true });
    }
  });
}

/** The wait of a loop that others may wake; one wait at a time. */
export class WakeableWait {
  /** Ends the wait that is under way; null if there is none. */
  private endWait: (() => void) | null = null;

  constructor(private readonly clock: Clock) {}

  /** Ends the wait that is under way, if any. */
  wake(): void {
    this.endWait?.();
  }

  /** Resolves after so many milliseconds, on `wake` or when the signal aborts; never rejects. */
  wait(delayMs: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const end = () => {
        timer.cancel();
        signal.removeEventListener('abort', end);
        this.endWait = null;
        resolve();
      };
      this.endWait = end;
      const timer = this.clock.setTimer(end, delayMs);
      signal.addEventListener('abort', end, { once: true });
    });
  }
}
