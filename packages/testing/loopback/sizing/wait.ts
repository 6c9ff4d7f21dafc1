import { setTimeout as sleep } from 'node:timers/promises';

/** Between two looks; milliseconds. */
const LOOK_MS = 5;

/** What was waited for did not come about in its time. */
export class TooLate extends Error {}

/** Resolves with what the look finds as soon as that is not null; rejects with TooLate. */
export async function waitFor<T>(what: string, withinS: number, look: () => T | null): Promise<T> {
  const untilMs = performance.now() + withinS * 1000;
  for (;;) {
    const found = look();
    if (found !== null) return found;
    if (performance.now() > untilMs) throw new TooLate(`${what}: not within ${withinS} s`);
    await sleep(LOOK_MS);
  }
}
