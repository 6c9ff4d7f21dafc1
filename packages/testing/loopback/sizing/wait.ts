import { setTimeout as sleep } from 'node:timers/promises';

/** Between two looks; milliseconds. */
const POLL_INTERVAL_MS = 5;

/** What was waited for did not come about in its time. */
export class TooLate extends Error {}

/** Resolves with what the look finds as soon as that is not null; rejects with TooLate. */
export async function waitFor<T>(what: string, timeoutS: number, poll: () => T | null): Promise<T> {
  const untilMs = performance.now() + timeoutS * 1000;
  for (;;) {
    const found = poll();
    if (found !== null) return found;
    if (performance.now() > untilMs) throw new TooLate(`${what}: not within ${timeoutS} s`);
    await sleep(POLL_INTERVAL_MS);
  }
}
