import { setTimeout as sleep } from 'node:timers/promises';

const POLL_INTERVAL_MS = 5;

/** A condition was not met before its timeout. */
export class WaitTimeoutError extends Error {}

/** Polls until `poll` returns a value other than null and resolves with it; rejects with WaitTimeoutError. */
export async function waitFor<T>(what: string, timeoutS: number, poll: () => T | null): Promise<T> {
  const deadlineMs = performance.now() + timeoutS * 1000;
  for (;;) {
    const found = poll();
    if (found !== null) return found;
    if (performance.now() > deadlineMs)
      throw new WaitTimeoutError(`${what}: timed out after ${timeoutS} s`);
    await sleep(POLL_INTERVAL_MS);
  }
}
