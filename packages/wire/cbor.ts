/** Encodes and decodes CBOR, the format of all message bodies of the protocol. */
import { decode as cborDecode, encode as cborEncode } from 'cborg';

/**
 * A message body that is not valid CBOR or does not follow the protocol. The error message names the invalid field,
 * if there is one, and is part of the answer to the sender.
 */
export class MalformedBody extends Error {
  override readonly name = 'MalformedBody';
}

/** Encodes a value as CBOR and leaves out fields that are undefined. */
export function encode(value: unknown): Uint8Array {
  // Other implementations of the protocol need not support 16-bit floats, so all floats have 64 bits.
  return cborEncode(value, { float64: true, ignoreUndefinedProperties: true });
}

/**
 * Decodes one CBOR value. Throws MalformedBody, and no other error, for any invalid input: truncated bytes, duplicate
 * keys, or nesting so deep that the stack overflows.
 */
export function decode(body: Uint8Array): unknown {
  try {
    return cborDecode(body, { rejectDuplicateMapKeys: true });
  } catch (err) {
    throw new MalformedBody(err instanceof Error ? err.message : 'not CBOR', { cause: err });
  }
}
