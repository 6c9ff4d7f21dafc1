import http from 'node:http';
import { decode, encode } from './cbor.js';

/** No usable answer came: the other side may have carried out the request or may still do so. */
export class NoAnswer extends Error {}

export interface Answer {
  status: number;
  body: unknown;
  retryAfterS: number | null;
}

export interface CallOptions {
  timeoutMs: number;
  signal?: AbortSignal;
  body?: unknown;
  /** Largest answer that is read. */
  maxBytes?: number;
}

/** Connections that a client opens at the most, if not told otherwise. */
export const MAX_SOCKETS = 16;

/** A keep-alive HTTP client that speaks CBOR with one host. */
export class CborClient {
  private readonly agent: http.Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(address: string, maxSockets = MAX_SOCKETS) {
    const colon = address.lastIndexOf(':');
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
    this.agent = new http.Agent({ keepAlive: true, maxSockets, scheduling: 'lifo' });
  }

  call(method: string, path: string, options: CallOptions): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const payload = options.body === undefined ? null : Buffer.from(encode(options.body));
      const fail = (why: string) => {
        finish();
        reject(new NoAnswer(`${method} ${path.split('?')[0]}: ${why}`));
        req.destroy();
      };
      const timer = setTimeout(() => fail('timed out'), options.timeoutMs);
      const onAbort = () => fail('cancelled');
      const finish = () => {
        clearTimeout(timer);
        options.signal?.removeEventListener('abort', onAbort);
      };
      const req = http.request(
        {
          host: this.host,
          port: this.port,
          method,
          path,
          agent: this.agent,
          headers: payload
            ? { 'content-type': 'application/cbor', 'content-length': payload.length }
            : {},
        },
        (res) => {
          const chunks: Buffer[] = [];
          let size = 0;
          res.on('data', (chunk: Buffer) => {
            size += chunk.length;
            if (options.maxBytes !== undefined && size > options.maxBytes) fail('answer too large');
            else chunks.push(chunk);
          });
          res.on('error', (err) => fail(err.message));
          res.on('aborted', () => fail('answer cut short'));
          res.on('end', () => {
            finish();
            const retry = Number(res.headers['retry-after']);
            let body: unknown = null;
            try {
              if (size > 0) body = decode(Buffer.concat(chunks));
            } catch {
              if (res.statusCode === 200) {
                reject(new NoAnswer(`${method} ${path.split('?')[0]}: unreadable answer`));
                return;
              }
            }
            resolve({
              status: res.statusCode ?? 0,
              body,
              retryAfterS: Number.isFinite(retry) ? retry : null,
            });
          });
        },
      );
      req.on('error', (err) => fail(err.message));
      if (options.signal?.aborted) {
        fail('cancelled');
        return;
      }
      options.signal?.addEventListener('abort', onAbort);
      if (payload) req.write(payload);
      req.end();
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
