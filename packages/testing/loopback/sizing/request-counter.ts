import type { Runtime } from '#wire';
import { watchRequests } from '../../watch-requests.js';

/** Counts the requests that HTTP servers receive, by the port on which they listen. */
export class RequestCounter {
  private readonly counts = new Map<number, number>();

  /** Wraps a runtime so that the requests to its HTTP servers are counted. */
  watch(runtime: Runtime): Runtime {
    return watchRequests(runtime, (_req, _res, { port }) => {
      this.counts.set(port, this.count(port) + 1);
    });
  }

  /** Requests received on the port so far. */
  count(port: number): number {
    return this.counts.get(port) ?? 0;
  }
}
