/** The HTTP server for workers, users and health checks. */
import http from 'node:http';
import express, { type Express, type Request, type Response } from 'express';
import { signalAborted, type HostPort, Listener, type Network } from '#wire';
import { replyError } from './replies.js';
import { collectBody } from './request-body.js';

/** Time after which an idle connection of a worker or user is closed, in milliseconds. */
const KEEP_ALIVE_MS = 75_000;
/** Share of the connection limit above which the server closes users' connections after each answer. */
const NEAR_LIMIT_SHARE = 0.9;

/** Answers a heartbeat. The body is undefined if it exceeds the size limit. */
export type HeartbeatHandler = (body: unknown, res: http.ServerResponse) => void;

/** Address, limits and handlers of `HttpServer`. */
export interface HttpServerOptions {
  network: Network;
  address: HostPort;
  /** Limit of the connections that are open at the same time. */
  maxConnections: number;
  /** Adds all routes except the one for heartbeats. */
  mount: (app: Express) => void;
  onHeartbeat: HeartbeatHandler;
}

/** Serves workers, users and health checks. */
export class HttpServer {
  private readonly listener: Listener;

  constructor(private readonly options: HttpServerOptions) {
    const app = makeApp();
    options.mount(app);
    mountFallbacks(app);
    const server = http.createServer(
      { requestTimeout: 0, keepAliveTimeout: KEEP_ALIVE_MS },
      routeRequests(app, options.onHeartbeat),
    );
    server.maxConnections = options.maxConnections;
    this.listener = new Listener(options.network, server);
  }

  /** Number of connections that are open now. */
  get connections(): number {
    return this.listener.connections;
  }

  /** Whether the number of open connections is close to the limit. */
  get isNearConnectionLimit(): boolean {
    return this.connections > NEAR_LIMIT_SHARE * this.options.maxConnections;
  }

  /** Serves until the signal aborts, then closes all connections. Rejects with ListenError if it can't listen. */
  async run(signal: AbortSignal): Promise<void> {
    await this.listener.open(this.options.address);
    await signalAborted(signal);
    await this.listener.close();
  }
}

/**
 * Makes a request listener that hands heartbeats directly to their handler and all other requests to
 * express. Nearly all requests to a leader are heartbeats, and express's routing cost more than the handler.
 */
export function routeRequests(app: Express, onHeartbeat: HeartbeatHandler): http.RequestListener {
  return (req, res) => {
    if (req.method === 'POST' && req.url === '/hello') {
      collectBody(req, (body) => {
        onHeartbeat(body, res);
      });
    } else app(req, res);
  };
}

/** Makes an express application whose routes get the raw body, or undefined if it exceeds the size limit. */
export function makeApp(): Express {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  app.set('query parser', false);
  app.use((req, _res, next) => {
    collectBody(req, (body) => {
      req.body = body;
      next();
    });
  });
  return app;
}

/** The HTTP method that each known path allows. */
const ALLOWED_METHODS = [
  { path: /^\/(submissions|hello)\/?$/, method: 'POST' },
  { path: /^\/submissions\/[^/]+\/?$/, method: 'GET' },
  { path: /^\/submissions\/[^/]+\/abort\/?$/, method: 'POST' },
  { path: /^\/(healthz|metrics|replicas)\/?$/, method: 'GET' },
];

/** Answers requests with unknown paths, wrong methods or unreadable bodies. Must be mounted last. */
export function mountFallbacks(app: Express): void {
  app.use((req: Request, res: Response) => {
    const allowed = ALLOWED_METHODS.find(({ path }) => path.test(req.path));
    if (!allowed) replyError(res, 404, 'unknown path');
    else {
      res.setHeader('Allow', allowed.method);
      replyError(res, 405, 'wrong method');
    }
  });
  app.use((err: unknown, _req: Request, res: Response, next: () => void) => {
    if (res.headersSent) next();
    else replyError(res, 400, err instanceof Error ? err.message : 'unreadable');
  });
}
