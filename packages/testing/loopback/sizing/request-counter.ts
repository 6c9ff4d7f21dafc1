import type { Runtime } from '#wire';
import { watchRequests } from '../../watch-requests.js';

/** Counts the requests that servers get, by the port at which they listen. */
export class RequestCounter {
  private readonly counts = new Map<number, number>();

  /** A runtime whose HTTP servers are counted. */
  watch(runtime: Runtime): Runtime {
    return watchRequests(runtime, (_req, _res, { port }) => {
      this.counts.set(port, this.count(port) + 1);
    });
  }

  /** Requests at the port so far. */
  count(port: number): number {
    return this.counts.get(port) ?? 0;
  }
}
