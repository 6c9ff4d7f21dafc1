/** The HTTP server for workers, users and health checks. */
import http from 'node:http';
import express, { type Express, type Request, type Response } from 'express';
import { signalAborted, type HostPort, Listener, type Network } from '#wire';
import { replyError } from './replies.js';
import { collectBody } from './request-body.js';

/** How long a connection of a worker or user is kept without a request; milliseconds. */
const KEEP_ALIVE_MS = 75_000;
/** Share of the server's connections above which users' connections are not kept. */
const NEAR_LIMIT_SHARE = 0.9;

/** Answers a heartbeat; the body is undefined if it is too large. */
export type HeartbeatHandler = (body: unknown, res: http.ServerResponse) => void;

/** What the server listens on and what it serves. */
export interface HttpServerOptions {
  network: Network;
  address: HostPort;
  /** Connections that may be open at a time. */
  maxConnections: number;
  /** Adds all routes but that of heartbeats. */
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

  /** Whether few connections are left. */
  get isNearConnectionLimit(): boolean {
    return this.connections > NEAR_LIMIT_SHARE * this.options.maxConnections;
  }

  /** Serves until the signal aborts, then ends all connections; rejects with ListenError. */
  async run(signal: AbortSignal): Promise<void> {
    await this.listener.open(this.options.address);
    await signalAborted(signal);
    await this.listener.close();
  }
}

/**
 * Passes heartbeats by express: nearly all requests to a leader are heartbeats, and express's way to the
 * handler cost more than the handler. Express serves everything else.
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

/** An express application that hands raw bodies within the limit to its routes. */
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

/** The method that each known path allows. */
const ALLOWED_METHODS = [
  { path: /^\/(submissions|hello)\/?$/, method: 'POST' },
  { path: /^\/submissions\/[^/]+\/?$/, method: 'GET' },
  { path: /^\/submissions\/[^/]+\/abort\/?$/, method: 'POST' },
  { path: /^\/(healthz|metrics|replicas)\/?$/, method: 'GET' },
];

/** Answers unknown paths, wrong methods and bodies that could not be read. To be mounted last. */
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
