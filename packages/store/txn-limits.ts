/** Limits of the state service that no settings give; the others are StateLimits. */

/** Of the 64 KiB of a transaction; the rest is for what stands around conditions and changes. */
export const TXN_BYTES = 60 * 1024;
/** Largest value that is written, whatever the settings allow: a transaction holds its key, too. */
export const MAX_VALUE_BYTES = 56 * 1024;
/** Conditions that a transaction may have for each change that it may have. */
export const CONDITIONS_PER_CHANGE = 4;

/** Bytes in JSON, by which the state service counts sizes. */
export function sizeInJson(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
