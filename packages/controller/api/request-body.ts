/** Reads request bodies. */
import type { IncomingMessage } from 'node:http';
import { decode, MalformedBody } from '#wire';

/** Limit of a request body, in bytes. */
const MAX_BODY_BYTES = 64 * 1024;

/**
 * Collects a body and passes it to `onBody`, or undefined if the body is too large. Express's body parsers
 * are not used: the leader of a large fleet spends most of its time reading heartbeats, and the streams of
 * these parsers cost more than decoding the heartbeat.
 */
export function collectBody(
  req: IncomingMessage,
  onBody: (body: Buffer | undefined) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  req.on('data', (chunk: Buffer) => {
    size += chunk.length;
    // A body that is too large is read to its end, so that the answer can be sent, but it is not stored.
    if (size <= MAX_BODY_BYTES) chunks.push(chunk);
  });
  req.on('end', () => {
    if (size > MAX_BODY_BYTES) onBody(undefined);
    else onBody(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
  });
}

/** Decodes a collected body. Throws MalformedBody if the body is missing, too large or not a map. */
export function readBody(body: unknown): Record<string, unknown> {
  if (!Buffer.isBuffer(body)) throw new MalformedBody('body: is missing or too long');
  const value = decode(body);
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    throw new MalformedBody('body: not a map');
  }
  return value as Record<string, unknown>;
}
