/**
 * What the serving side of the interfaces passes around: decoded requests and the answers to them.
 * Production code is a client of these interfaces; only stand-ins and tools serve them.
 */

/** One HTTP request with its CBOR body decoded. */
export interface WireRequest {
  method: string;
  /** The part of the URL before `?`, unescaped. */
  path: string;
  query: URLSearchParams;
  /** null if the request has no body. */
  body: unknown;
}

/** One HTTP answer; the body is encoded as CBOR. */
export interface WireReply {
  status: number;
  body?: unknown;
}

/** The request cannot be read; a retry would have the same result. */
export const MALFORMED: WireReply = { status: 400, body: { error: 'malformed' } };
/** Above the allowed rate; nothing was done. */
export const TOO_MANY_REQUESTS: WireReply = { status: 429, body: { error: 'too many requests' } };
/** An outage; nothing was done. */
export const UNAVAILABLE: WireReply = { status: 503, body: { error: 'trouble' } };

/** Bytes of a body as the protocol counts them: in its JSON form. */
export function wireSize(body: unknown): number {
  const json = JSON.stringify(body) as string | undefined;
  return json === undefined ? 0 : Buffer.byteLength(json);
}
