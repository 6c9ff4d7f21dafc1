/**
 * HTTP requests and answers on the server side of the APIs that the service calls. Only stand-ins for other services,
 * and development tools, use them.
 */

/** One HTTP request with its CBOR body decoded. */
export interface WireRequest {
  method: string;
  /** The part of the URL before `?`, percent-decoded. */
  path: string;
  query: URLSearchParams;
  /** Null if the request has no body. */
  body: unknown;
}

/** One HTTP answer; the body is encoded as CBOR. */
export interface WireReply {
  status: number;
  body?: unknown;
}

/** Answer to a request that cannot be decoded; a retry would have the same result. */
export const MALFORMED: WireReply = { status: 400, body: { error: 'malformed' } };
/** Answer to a request above the rate limit, which is not executed. */
export const TOO_MANY_REQUESTS: WireReply = { status: 429, body: { error: 'too many requests' } };
/** Answer during an outage to a request that is not executed. */
export const UNAVAILABLE: WireReply = { status: 503, body: { error: 'trouble' } };

/** Size of a body in bytes as the protocol's limits count it: encoded as JSON. */
export function wireSize(body: unknown): number {
  const json = JSON.stringify(body) as string | undefined;
  return json === undefined ? 0 : Buffer.byteLength(json);
}
