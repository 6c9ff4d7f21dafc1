import { nodeRuntime, sleep } from '#wire';

/** Interval in milliseconds at which `until` checks its condition. */
const POLL_INTERVAL_MS = 20;

/** Waits in real time until the condition holds. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await sleep(nodeRuntime.clock, POLL_INTERVAL_MS);
}
