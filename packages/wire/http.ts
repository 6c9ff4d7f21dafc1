import http from 'node:http';
import { NetworkAgent } from './agent.js';
import { decode, encode } from './cbor.js';
import { type HostPort, parseHostPort, type Runtime } from './runtime.js';

/** No usable answer came: the other side may have carried out the request or may still do so. */
export class NoAnswer extends Error {}

/** An answer of any status, with what its body holds. */
export interface Answer {
  status: number;
  /** Null if there is none, or if it is no CBOR and the status is not 200. */
  body: unknown;
  /** The other side's wish, in seconds; null if it has none. */
  retryAfterS: number | null;
}

/** How one call is made. */
export interface CallOptions {
  /** From the call to the end of its answer. */
  timeoutMs: number;
  /** Ends the call early. */
  signal?: AbortSignal;
  /** Sent as CBOR; nothing is sent if it is undefined. */
  body?: unknown;
  /** Largest answer that is read. */
  maxBytes?: number;
}

/** Connections that a client opens at the most, if not told otherwise. */
export const MAX_SOCKETS = 16;

/** A keep-alive HTTP client that speaks CBOR with one host. */
export class CborClient {
  private readonly agent: NetworkAgent;
  private readonly address: HostPort;
  /** Ends each call that is under way. */
  private readonly pending = new Set<() => void>();
  private closed = false;

  constructor(
    private readonly runtime: Runtime,
    address: string,
    maxSockets = MAX_SOCKETS,
  ) {
    this.address = parseHostPort(address);
    this.agent = new NetworkAgent(runtime.network, maxSockets);
  }

  /** Rejects with NoAnswer. */
  call(method: string, path: string, options: CallOptions): Promise<Answer> {
    const name = `${method} ${path.split('?')[0]}`;
    if (this.closed || options.signal?.aborted) {
      return Promise.reject(new NoAnswer(`${name}: cancelled`));
    }
    return new Promise((resolve, reject) => {
      const payload = options.body === undefined ? null : Buffer.from(encode(options.body));
      const headers = payload
        ? { 'content-type': 'application/cbor', 'content-length': payload.length }
        : {};
      const fail = (reason: string) => {
        finish();
        reject(new NoAnswer(`${name}: ${reason}`));
        req.destroy();
      };
      const timer = this.runtime.clock.setTimer(() => fail('timed out'), options.timeoutMs);
      const onAbort = () => fail('cancelled');
      const finish = () => {
        timer.cancel();
        this.pending.delete(onAbort);
        options.signal?.removeEventListener('abort', onAbort);
      };
      const req = http.request({ ...this.address, method, path, agent: this.agent, headers });
      req.on('error', (err) => fail(err.message));
      req.on('response', (res) => {
        collect(res, options.maxBytes ?? Infinity, fail, (bytes) => {
          finish();
          const answer = readAnswer(res, bytes);
          if (answer === null) reject(new NoAnswer(`${name}: unreadable answer`));
          else resolve(answer);
        });
      });
      this.pending.add(onAbort);
      options.signal?.addEventListener('abort', onAbort);
      if (payload) req.write(payload);
      req.end();
    });
  }

  /** Ends all calls, also later ones, with NoAnswer. */
  close(): void {
    this.closed = true;
    for (const cancel of [...this.pending]) cancel();
    this.agent.destroy();
  }
}

/** Gathers the body of an answer. */
function collect(
  res: http.IncomingMessage,
  maxBytes: number,
  fail: (reason: string) => void,
  done: (bytes: Buffer) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  res.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxBytes) fail('answer too large');
    else chunks.push(chunk);
  });
  res.on('error', (err) => fail(err.message));
  res.on('aborted', () => fail('answer cut short'));
  res.on('end', () => done(Buffer.concat(chunks)));
}

/** Null: a 200 whose body is not CBOR. The body of any other status is only a hint. */
function readAnswer(res: http.IncomingMessage, bytes: Buffer): Answer | null {
  const retryAfterS = Number(res.headers['retry-after']);
  const status = res.statusCode ?? 0;
  let body: unknown = null;
  try {
    if (bytes.length > 0) body = decode(bytes);
  } catch {
    if (status === 200) return null;
  }
  return { status, body, retryAfterS: Number.isFinite(retryAfterS) ? retryAfterS : null };
}
