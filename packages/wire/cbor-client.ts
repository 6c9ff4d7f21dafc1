/** An HTTP client for bodies of CBOR, below the clients of the state service, the cloud and the service's users. */
import http from 'node:http';
import { decode, encode } from './cbor.js';
import { HttpStatus } from './http-status.js';
import { NetworkAgent } from './network-agent.js';
import { type HostPort, parseHostPort, type Runtime } from './runtime.js';

/**
 * No usable answer came: the other side may have carried out the request or may still do so. The cause, if there is
 * one, is the error of the connection or of the answer's body.
 */
export class NoAnswer extends Error {
  override readonly name = 'NoAnswer';
}

/** An answer of any status, with what its body holds. */
export interface Answer {
  status: number;
  /** Null if there is none, or if it is no CBOR and the status is not 200. */
  body: unknown;
  /** Seconds after which the other side wants the request to be repeated; null if it does not say. */
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

/** Connections that a client opens at the most, unless its maker says otherwise. */
export const MAX_SOCKETS = 16;

/** A keep-alive HTTP client that speaks CBOR with one host. */
export class CborClient {
  private readonly agent: NetworkAgent;
  private readonly address: HostPort;
  /** Ends each call that is under way. */
  private readonly cancelFunctions = new Set<() => void>();
  private closed = false;

  constructor(
    private readonly runtime: Runtime,
    address: string,
    maxSockets = MAX_SOCKETS,
  ) {
    this.address = parseHostPort(address);
    this.agent = new NetworkAgent(runtime.network, maxSockets);
  }

  /** Sends one request; resolves with its answer, whatever the status, and rejects with NoAnswer. */
  call(method: string, path: string, options: CallOptions): Promise<Answer> {
    if (this.closed || options.signal?.aborted) {
      return Promise.reject(new NoAnswer(`${describeRequest(method, path)}: cancelled`));
    }
    return new Promise((resolve, reject) => {
      this.send(method, path, options, (answer) => {
        if (answer instanceof NoAnswer) reject(answer);
        else resolve(answer);
      });
    });
  }

  /** Sends a request; `settle` may be called more than once, and only the first call counts. */
  private send(
    method: string,
    path: string,
    { body, maxBytes = Infinity, signal, timeoutMs }: CallOptions,
    settle: (answer: Answer | NoAnswer) => void,
  ): void {
    const name = describeRequest(method, path);
    const payload = body === undefined ? null : Buffer.from(encode(body));
    const fail = (reason: string, cause?: unknown) => {
      finish();
      settle(new NoAnswer(`${name}: ${reason}`, { cause }));
      request.destroy();
    };
    const timer = this.runtime.clock.setTimer(() => {
      fail('timed out');
    }, timeoutMs);
    const cancel = () => {
      fail('cancelled');
    };
    const finish = () => {
      timer.cancel();
      this.cancelFunctions.delete(cancel);
      signal?.removeEventListener('abort', cancel);
    };
    const request = this.createRequest(method, path, payload);
    request.on('error', (err) => {
      fail(err.message, err);
    });
    request.on('response', (response) => {
      collectBody(response, maxBytes, fail, (bytes) => {
        finish();
        settle(readAnswer(name, response, bytes));
      });
    });
    this.cancelFunctions.add(cancel);
    signal?.addEventListener('abort', cancel);
    if (payload) request.write(payload);
    request.end();
  }

  private createRequest(method: string, path: string, payload: Buffer | null): http.ClientRequest {
    const headers = payload
      ? { 'content-type': 'application/cbor', 'content-length': payload.length }
      : {};
    return http.request({ ...this.address, method, path, agent: this.agent, headers });
  }

  /** Ends all calls, also later ones, with NoAnswer. */
  close(): void {
    this.closed = true;
    for (const cancel of [...this.cancelFunctions]) cancel();
    this.agent.destroy();
  }
}

/** Collects the body of an answer; calls either `fail` or `done`. */
function collectBody(
  response: http.IncomingMessage,
  maxBytes: number,
  fail: (reason: string, cause?: unknown) => void,
  done: (bytes: Buffer) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  response.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxBytes) fail('answer too large');
    else chunks.push(chunk);
  });
  response.on('error', (err) => {
    fail(err.message, err);
  });
  response.on('aborted', () => {
    fail('answer cut short');
  });
  response.on('end', () => {
    done(Buffer.concat(chunks));
  });
}

/** NoAnswer: a 200 whose body is not CBOR. */
function readAnswer(
  name: string,
  response: http.IncomingMessage,
  bytes: Buffer,
): Answer | NoAnswer {
  const retryAfterS = Number(response.headers['retry-after']);
  const status = response.statusCode ?? 0;
  let body: unknown = null;
  try {
    if (bytes.length > 0) body = decode(bytes);
  } catch (err) {
    // The body of any other status is only a hint for people, and may be anything.
    if (status === HttpStatus.ok) return new NoAnswer(`${name}: unreadable answer`, { cause: err });
  }
  return { status, body, retryAfterS: Number.isFinite(retryAfterS) ? retryAfterS : null };
}

/** How errors name a request: without its query, which may be long. */
function describeRequest(method: string, path: string): string {
  return `${method} ${path.split('?')[0]}`;
}
