/** Records which controller answered which request, for tests. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Runtime } from '#wire';
import { watchRequests } from '../watch-requests.js';
import type { World } from './world.js';

/** A request that a controller has answered, and the status of the answer. */
export interface AnsweredRequest {
  /** Time at which the answer was written, in simulated seconds. */
  atS: number;
  /** Name of the controller. */
  controller: string;
  method: string;
  path: string;
  status: number;
  /** IP address of the host that sent the request. */
  clientHost: string;
}

/** Conditions on the requests to find; omitted ones match all requests. */
export type RequestFilter = Partial<
  Pick<AnsweredRequest, 'controller' | 'method' | 'status' | 'clientHost'>
> & {
  path?: RegExp;
  fromS?: number;
  untilS?: number;
};

/** Path to which workers post their heartbeats. */
export const HEARTBEAT_PATH = /^\/hello$/;
/** Path at which users cancel a job. */
export const CANCEL_PATH = /^\/submissions\/[^/]+\/abort$/;

/** Collects the requests that controllers have answered. */
export class RequestLog {
  private readonly answered: AnsweredRequest[] = [];

  constructor(private readonly world: World) {}

  /** Wraps the runtime of a controller so that its answers are recorded. */
  watch(controller: string, runtime: Runtime): Runtime {
    return watchRequests(runtime, (req, res) => {
      this.recordAnswer(controller, req, res);
    });
  }

  /** Answered requests that match the filter, in the order of their answers. */
  find(filter: RequestFilter): AnsweredRequest[] {
    return this.answered.filter((request) => matches(request, filter));
  }

  private recordAnswer(controller: string, req: IncomingMessage, res: ServerResponse): void {
    const { method = 'GET', url: path = '/' } = req;
    const clientHost = req.socket.remoteAddress ?? '';
    res.once('finish', () => {
      const { statusCode: status } = res;
      const atS = this.world.now;
      this.answered.push({ atS, controller, method, path, status, clientHost });
    });
  }
}

function matches(request: AnsweredRequest, filter: RequestFilter): boolean {
  const { path, fromS = 0, untilS = Infinity, ...exact } = filter;
  if (request.atS < fromS || request.atS > untilS) return false;
  if (path !== undefined && !path.test(request.path)) return false;
  const wanted = Object.entries(exact) as [keyof typeof exact, unknown][];
  return wanted.every(([field, value]) => value === undefined || request[field] === value);
}
