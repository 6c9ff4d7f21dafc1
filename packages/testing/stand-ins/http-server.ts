/** The HTTP server that all stand-ins use: CBOR requests and responses over a Runtime's network. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { decode, encode, Listener, MalformedBody, type HostPort, type Runtime } from '#wire';
import { MALFORMED, type WireReply, type WireRequest } from '#wire/serving';

/** A request as passed to the request handler. */
export interface ServedRequest extends WireRequest {
  /** Address of the host that opened the connection; empty if the network does not report it. */
  clientHost: string;
}

/**
 * Answers one request. With `NO_REPLY` the request is never answered: the connection stays open until the
 * client gives up. An error other than MalformedBody is a bug in the stand-in and closes the connection.
 */
export type RequestHandler = (
  request: ServedRequest,
) => WireReply | typeof NO_REPLY | Promise<WireReply | typeof NO_REPLY>;

/** The result of a handler that never answers its request. */
export const NO_REPLY = Symbol('no reply');

/** The address of the peer, which an accepted connection may report as net.Socket does. */
interface ConnectionOrigin {
  remoteAddress?: string;
}

/** Any free port of the loopback interface. */
export const FREE_LOOPBACK_PORT: HostPort = { host: '127.0.0.1', port: 0 };

/** A listening server. */
export interface CborServer {
  /** The address on which the server listens. On a real network, port 0 is replaced by the port chosen. */
  readonly address: HostPort;
  /** The address as `host:port`. */
  readonly target: string;
  /** Closes all connections and stops listening. */
  close(): void;
}

/**
 * Serves CBOR at the address until closed. The timeouts of Node's HTTP server are disabled because they
 * use the system clock, not the clock of the runtime.
 */
export async function serveCbor(
  runtime: Runtime,
  address: HostPort,
  handle: RequestHandler,
): Promise<CborServer> {
  const server = http.createServer(
    { requestTimeout: 0, headersTimeout: 0, keepAliveTimeout: 0 },
    (req, res) => void answer(req, res, handle),
  );
  const listener = new Listener(runtime.network, server);
  await listener.open(address);
  const bound = server.address() as AddressInfo | null;
  const port = bound?.port ?? address.port;
  return {
    address: { host: address.host, port },
    target: `${address.host}:${port}`,
    close: () => void listener.close(),
  };
}

async function answer(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  handle: RequestHandler,
): Promise<void> {
  try {
    const body = await readBody(req);
    const reply = await handle({ ...parseTarget(req), body });
    if (reply !== NO_REPLY) send(res, reply);
  } catch (err) {
    if (err instanceof MalformedBody) send(res, MALFORMED);
    else req.destroy(err as Error);
  }
}

function parseTarget(req: http.IncomingMessage): Omit<ServedRequest, 'body'> {
  const target = req.url ?? '/';
  const queryStart = target.indexOf('?');
  const path = queryStart < 0 ? target : target.slice(0, queryStart);
  const origin = req.socket as ConnectionOrigin;
  return {
    method: req.method ?? 'GET',
    path: unescapePath(path),
    query: new URLSearchParams(queryStart < 0 ? '' : target.slice(queryStart + 1)),
    clientHost: origin.remoteAddress ?? '',
  };
}

function unescapePath(path: string): string {
  try {
    return decodeURIComponent(path);
  } catch {
    throw new MalformedBody('the path contains an invalid percent-encoding');
  }
}

function readBody(req: http.IncomingMessage): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('error', reject);
    req.on('end', () => {
      try {
        resolve(chunks.length === 0 ? null : decode(Buffer.concat(chunks)));
      } catch (err) {
        reject(err instanceof Error ? err : new Error(String(err), { cause: err }));
      }
    });
  });
}

function send(res: http.ServerResponse, reply: WireReply): void {
  if (res.destroyed) return;
  res.sendDate = false;
  const payload = reply.body === undefined ? Buffer.alloc(0) : Buffer.from(encode(reply.body));
  res.writeHead(reply.status, {
    'content-type': 'application/cbor',
    'content-length': payload.length,
  });
  res.end(payload);
}
