/**
 * Sends the answers to HTTP requests, in the words of the protocol. Users' answers have a type each, so
 * that a word of the code, such as the phase `cancelled`, can't reach the wire.
 */
import type { ServerResponse } from 'node:http';
import { encode, type JobView } from '#wire';

/** Sends a body that `#wire` has made from a message, with one write for head and body. */
export function reply(
  res: ServerResponse,
  status: number,
  body: Record<string, unknown>,
  retryAfterS?: number,
): void {
  const bytes = encode(body);
  const head: Record<string, string | number> = {
    'Content-Type': 'application/cbor',
    'Content-Length': bytes.length,
  };
  if (retryAfterS !== undefined) head['Retry-After'] = Math.ceil(retryAfterS);
  res.writeHead(status, head).end(bytes);
}

/** Tells a user how a job stands. */
export function replyJob(res: ServerResponse, status: 200 | 201, job: JobView): void {
  reply(res, status, { ...job });
}

/** Says why a request failed and, if it may be repeated, after how many seconds. */
export function replyError(
  res: ServerResponse,
  status: number,
  error: string,
  retryAfterS?: number,
): void {
  reply(res, status, { error }, retryAfterS);
}

/** Answers a health check. */
export function replyHealth(res: ServerResponse, ok: boolean): void {
  reply(res, ok ? 200 : 503, { ok });
}
