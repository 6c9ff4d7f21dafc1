/** Bursts of requests to all nodes right after something happened to a job. */
import { jobToWire, sleep, type Job, type Runtime } from '#wire';
import type { UserRequests } from './requests.js';

/** When all nodes are asked after news about a job, in milliseconds. */
const POLL_DELAYS_MS = [0, 2, 5, 12, 30, 80, 250];

/** Questions at all nodes within milliseconds after news about a job, and repeated submissions. */
export class PollBursts {
  constructor(
    private readonly runtime: Runtime,
    /** One for each node, past the load balancer. */
    private readonly nodes: UserRequests[],
  ) {}

  /** Asks all nodes again and again; each gets one repeated submission in between. */
  poll(job: Job): void {
    for (const node of this.nodes) {
      const repeatAt = Math.floor(this.runtime.random() * POLL_DELAYS_MS.length);
      for (const [index, delayMs] of POLL_DELAYS_MS.entries()) {
        void this.sendAfter(delayMs, () => node.poll(job.id));
        if (index === repeatAt) {
          void this.sendAfter(delayMs, () => node.submit(job.id, jobToWire(job)));
        }
      }
    }
  }

  private async sendAfter(delayMs: number, send: () => Promise<unknown>): Promise<void> {
    if (delayMs > 0) await sleep(this.runtime.clock, delayMs);
    await send();
  }
}
