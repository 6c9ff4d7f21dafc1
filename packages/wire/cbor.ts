/** Reads and writes CBOR, the form of all bodies of the protocol. */
import { decode as cborDecode, encode as cborEncode } from 'cborg';

/**
 * A body that is not the CBOR that the protocol allows. The message names the field, if one is wrong, and is part of
 * the answer to the sender.
 */
export class MalformedBody extends Error {
  override readonly name = 'MalformedBody';
}

/** Writes one CBOR value; fields that are undefined are left out. */
export function encode(value: unknown): Uint8Array {
  // Clients by others need not read half-width floats, so only full ones are written.
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
    throw new MalformedBody(err instanceof Error ? err.message : 'not CBOR', { cause: err });
  }
}
