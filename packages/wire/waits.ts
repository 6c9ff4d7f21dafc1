/** Functions that wait for a delay of a Clock or for an AbortSignal. */
import type { Clock, Timer } from './runtime.js';

/** Resolves after a delay on the clock; rejects with the signal's reason if the signal aborts first. */
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

/** Like `sleep`, but resolves early if the signal aborts. */
export async function pause(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  // `sleep` rejects only if the signal aborts.
  await sleep(clock, delayMs, signal).catch(() => undefined);
}

/** Calls `callback` once per period until the returned timer is cancelled. */
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

/** A delay that other code can end early, for use in a loop; only one wait may run at a time. */
export class WakeableWait {
  /** Ends the current wait; null if there is none. */
  private endWait: (() => void) | null = null;

  constructor(private readonly clock: Clock) {}

  /** Ends the current wait, if there is one. */
  wake(): void {
    this.endWait?.();
  }

  /** Resolves after the delay, on `wake` or when the signal aborts; never rejects. */
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
