import http from 'node:http';
import express, { type Express, type Request, type Response } from 'express';
import { aborted, type HostPort, Listener, type Network } from '#wire';
import { reply, takeBody } from './http-bodies.js';

/** How long a connection of a worker or user is kept without a request. */
const KEEP_ALIVE_MS = 75_000;
/** Share of the server's connections above which users' connections are not kept. */
const CROWDED = 0.9;

/** Answers a report; the body is undefined if it is too large. */
export type HeartbeatHandler = (body: unknown, res: http.ServerResponse) => void;

export interface HttpServerOptions {
  network: Network;
  address: HostPort;
  maxConnections: number;
  /** Adds all routes but that of reports. */
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
      withHeartbeats(app, options.onHeartbeat),
    );
    server.maxConnections = options.maxConnections;
    this.listener = new Listener(options.network, server);
  }

  /** Connections that are open now. */
  get connections(): number {
    return this.listener.connections;
  }

  /** Few connections are left. */
  get crowded(): boolean {
    return this.connections > CROWDED * this.options.maxConnections;
  }

  /** Serves until the signal aborts, then ends all connections; rejects with ListenError. */
  async run(signal: AbortSignal): Promise<void> {
    await this.listener.open(this.options.address);
    await aborted(signal);
    await this.listener.close();
  }
}

/**
 * Reports go past express: nearly all requests to an owner are reports, and express's way to the handler
 * cost more than the handler. All else is express's.
 */
export function withHeartbeats(app: Express, onHeartbeat: HeartbeatHandler): http.RequestListener {
  return (req, res) => {
    if (req.method === 'POST' && req.url === '/hello')
      takeBody(req, (body) => onHeartbeat(body, res));
    else app(req, res);
  };
}

/** The common frame of the HTTP side: raw bodies within the limit. */
export function makeApp(): Express {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  app.set('query parser', false);
  app.use((req, _res, next) =>
    takeBody(req, (body) => {
      req.body = body;
      next();
    }),
  );
  return app;
}

/** Unknown paths, wrong methods and bodies that could not be read. To be mounted last. */
export function mountFallbacks(app: Express): void {
  const methods: [RegExp, string][] = [
    [/^\/(submissions|hello)\/?$/, 'POST'],
    [/^\/submissions\/[^/]+\/?$/, 'GET'],
    [/^\/submissions\/[^/]+\/abort\/?$/, 'POST'],
    [/^\/(healthz|metrics|replicas)\/?$/, 'GET'],
  ];
  app.use((req: Request, res: Response) => {
    const known = methods.find(([path]) => path.test(req.path));
    if (!known) reply(res, 404, { error: 'unknown path' });
    else {
      res.setHeader('Allow', known[1]);
      reply(res, 405, { error: 'wrong method' });
    }
  });
  app.use((err: unknown, _req: Request, res: Response, next: () => void) => {
    if (res.headersSent) next();
    else reply(res, 400, { error: err instanceof Error ? err.message : 'unreadable' });
  });
}
