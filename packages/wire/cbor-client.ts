/** An HTTP client with CBOR bodies, on which the clients for users, the cloud and the state service are built. */
import http from 'node:http';
import { decode, encode } from './cbor.js';
import { HttpStatus } from './http-status.js';
import { NetworkAgent } from './network-agent.js';
import { type HostPort, parseHostPort, type Runtime } from './runtime.js';

/**
 * A request got no usable answer; the server may have executed the request or may still execute it. The `cause`, if
 * set, is the error of the connection or of decoding the answer.
 */
export class NoAnswer extends Error {
  override readonly name: string = 'NoAnswer';
}

/** The body of the answer is larger than the caller allows. */
export class AnswerTooLarge extends NoAnswer {
  override readonly name = 'AnswerTooLarge';
}

/** An HTTP answer of any status, with its decoded body. */
export interface Answer {
  status: number;
  /** Null if the answer has no body, or if the body is not CBOR and the status is not 200. */
  body: unknown;
  /** The delay of the Retry-After header, in seconds; null if the header is missing or is not a number. */
  retryAfterS: number | null;
}

/** Options of one call. */
export interface CallOptions {
  /** Time limit from the start of the call to the end of its answer. */
  timeoutMs: number;
  /** Cancels the call when it aborts. */
  signal?: AbortSignal;
  /** Sent as CBOR; the request has no body if this is undefined. */
  body?: unknown;
  /** Maximum size of the answer's body in bytes; a larger body fails the call with AnswerTooLarge. */
  maxBytes?: number;
}

/** Default limit on the number of connections that one client opens. */
export const DEFAULT_MAX_SOCKETS = 16;

/** An HTTP client that exchanges CBOR with one host over keep-alive connections. */
export class CborClient {
  private readonly agent: NetworkAgent;
  private readonly address: HostPort;
  /** Functions that cancel the calls in flight, one per call. */
  private readonly cancelFunctions = new Set<() => void>();
  private closed = false;

  constructor(
    private readonly runtime: Runtime,
    address: string,
    maxSockets = DEFAULT_MAX_SOCKETS,
  ) {
    this.address = parseHostPort(address);
    this.agent = new NetworkAgent(runtime.network, maxSockets);
  }

  /** Sends one request; resolves with an answer of any status, and rejects with NoAnswer. */
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
    const fail: FailCall = (reason, cause, CallError = NoAnswer) => {
      finish();
      settle(new CallError(`${name}: ${reason}`, { cause }));
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

  /** Closes the client: calls in flight and all later calls reject with NoAnswer. */
  close(): void {
    this.closed = true;
    for (const cancel of [...this.cancelFunctions]) cancel();
    this.agent.destroy();
  }
}

/** Fails a call for a reason, with the error that caused it and the kind of its own error, by default NoAnswer. */
type FailCall = (reason: string, cause?: unknown, CallError?: typeof NoAnswer) => void;

/** Collects the body of an answer; calls `done` with the complete body, or `fail`. */
function collectBody(
  response: http.IncomingMessage,
  maxBytes: number,
  fail: FailCall,
  done: (bytes: Buffer) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  response.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxBytes) fail('answer too large', undefined, AnswerTooLarge);
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

/** Decodes an answer; returns NoAnswer for a 200 whose body is not CBOR. */
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
    // With any other status the body is informational only, and need not be CBOR.
    if (status === HttpStatus.ok) return new NoAnswer(`${name}: unreadable answer`, { cause: err });
  }
  return { status, body, retryAfterS: Number.isFinite(retryAfterS) ? retryAfterS : null };
}

/** Describes a request in error messages, without its query string, which may be long. */
function describeRequest(method: string, path: string): string {
  return `${method} ${path.split('?')[0]}`;
}
