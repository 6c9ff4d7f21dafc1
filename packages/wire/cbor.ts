import { decode as cborDecode, encode as cborEncode } from 'cborg';

/** A body that is not the CBOR that the protocol allows. */
export class MalformedBody extends Error {}

/** Writes one CBOR value; fields that are undefined are left out. */
export function encode(value: unknown): Uint8Array {
  // Peers of other makes need not read half-width floats, so only full ones are written.
  return cborEncode(value, { float64: true, ignoreUndefinedProperties: true });
}

/**
 * Reads one CBOR value. Whatever is wrong with the bytes (truncation, duplicate keys, nesting deep
 * enough to exhaust the stack) surfaces as MalformedBody and never as another kind of failure.
 */
export function decode(body: Uint8Array): unknown {
  try {
    return cborDecode(body, { rejectDuplicateMapKeys: true });
  } catch (err) {
    throw new MalformedBody(err instanceof Error ? err.message : 'not CBOR');
  }
}
