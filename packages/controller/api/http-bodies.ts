import type { IncomingMessage, ServerResponse } from 'node:http';
import { decode, encode, MalformedBody } from '#wire';

/** Largest body of a request, in bytes. */
const BODY_LIMIT = 64 * 1024;

/** Answers with one write: head and body go out together. */
export function reply(
  res: ServerResponse,
  status: number,
  body: unknown,
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

/**
 * Takes a body in without express's body parsers: most of what an owner of a large fleet does is read
 * reports, and the parsers' streams cost more than reading the report itself.
 */
export function takeBody(req: IncomingMessage, take: (body: unknown) => void): void {
  const chunks: Buffer[] = [];
  let size = 0;
  req.on('data', (chunk: Buffer) => {
    size += chunk.length;
    // What is too large is read to its end, so that the answer can be sent, but not kept.
    if (size <= BODY_LIMIT) chunks.push(chunk);
  });
  req.on('end', () => {
    if (size > BODY_LIMIT) take(undefined);
    else take(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
  });
}

/** The map that a body holds; throws MalformedBody. */
export function readBody(body: unknown): unknown {
  if (!Buffer.isBuffer(body)) throw new MalformedBody('body: is missing or too long');
  const value = decode(body);
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    throw new MalformedBody('body: not a map');
  }
  return value;
}
