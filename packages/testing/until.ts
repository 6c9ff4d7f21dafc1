import { nodeRuntime, sleep } from '#wire';

/** Between two looks; milliseconds. */
const POLL_INTERVAL_MS = 20;

/** Waits on the machine's own clock until the condition holds. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await sleep(nodeRuntime.clock, POLL_INTERVAL_MS);
}
