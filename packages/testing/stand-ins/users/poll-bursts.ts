/** Bursts of requests to all nodes right after a job was accepted or has ended. */
import { jobToWire, sleep, type Job, type Runtime } from '#wire';
import type { UserRequests } from './requests.js';

/** Delays of the polls of a burst, in milliseconds. */
const POLL_DELAYS_MS = [0, 2, 5, 12, 30, 80, 250];

/** Sends bursts of polls to all nodes, with one repeated submission to each. */
export class PollBursts {
  constructor(
    private readonly runtime: Runtime,
    /** One for each node, without the load balancer. */
    private readonly nodes: UserRequests[],
  ) {}

  /** Polls the job at all nodes several times and resubmits it once at each node. */
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
