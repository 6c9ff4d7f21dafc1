/** The HTTP side that all stand-ins share: CBOR in, CBOR out, over a Runtime's network. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { decode, encode, Listener, MalformedBody, type HostPort, type Runtime } from '#wire';
import { MALFORMED, type WireReply, type WireRequest } from '#wire/serving';

/** A request as the handler of a server gets it. */
export interface ServedRequest extends WireRequest {
  /** Address of the host that opened the connection; empty if the network does not tell. */
  clientHost: string;
}

/**
 * Answers one request. `NO_REPLY` leaves it unanswered for ever: the connection stays open until the
 * client gives up. Errors other than MalformedBody are faults of the stand-in and end the connection.
 */
export type RequestHandler = (
  request: ServedRequest,
) => WireReply | typeof NO_REPLY | Promise<WireReply | typeof NO_REPLY>;

/** The result of a handler that leaves its request unanswered. */
export const NO_REPLY = Symbol('no reply');

/** What an accepted connection may tell of its other end; net.Socket does. */
interface ConnectionOrigin {
  remoteAddress?: string;
}

/** Any free port of this machine's loopback. */
export const FREE_LOOPBACK_PORT: HostPort = { host: '127.0.0.1', port: 0 };

/** A server that listens. */
export interface CborServer {
  /** Where it listens; on a real machine port 0 has been replaced by the port that was free. */
  readonly address: HostPort;
  /** The same as `host:port`. */
  readonly target: string;
  /** Ends all connections and listens no more. */
  close(): void;
}

/** Serves CBOR at the address until closed. Node's own timeouts are off: they know one clock only. */
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
    throw new MalformedBody('the path is badly escaped');
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
