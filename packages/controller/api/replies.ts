/**
 * Sends the answers to HTTP requests. Each kind of answer to users has its own type, so that internal
 * names, such as the job phase `cancelled`, can't reach the wire.
 */
import type { ServerResponse } from 'node:http';
import { encode, type JobView } from '#wire';

/** Sends a body in wire format. Head and body go out in one write. */
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

/** Sends the state of a job to a user. */
export function replyJob(res: ServerResponse, status: 200 | 201, job: JobView): void {
  reply(res, status, { ...job });
}

/** Sends the reason why a request failed and, if the request may be repeated, the delay in seconds. */
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
