/** Reads the bodies of requests. */
import type { IncomingMessage } from 'node:http';
import { decode, MalformedBody } from '#wire';

/** Largest body of a request, in bytes. */
const MAX_BODY_BYTES = 64 * 1024;

/**
 * Collects a body and passes it on, or undefined if it is too large. Express's body parsers are not
 * used: most of what the leader of a large fleet does is to read heartbeats, and the parsers' streams
 * cost more than reading the heartbeat itself.
 */
export function collectBody(
  req: IncomingMessage,
  onBody: (body: Buffer | undefined) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  req.on('data', (chunk: Buffer) => {
    size += chunk.length;
    // A body that is too large is read to its end, so that the answer can be sent, but it is not kept.
    if (size <= MAX_BODY_BYTES) chunks.push(chunk);
  });
  req.on('end', () => {
    if (size > MAX_BODY_BYTES) onBody(undefined);
    else onBody(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
  });
}

/** Decodes the map that a collected body holds; throws MalformedBody. */
export function readBody(body: unknown): Record<string, unknown> {
  if (!Buffer.isBuffer(body)) throw new MalformedBody('body: is missing or too long');
  const value = decode(body);
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    throw new MalformedBody('body: not a map');
  }
  return value as Record<string, unknown>;
}
