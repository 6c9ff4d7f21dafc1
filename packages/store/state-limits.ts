/** Limits of the state service: configurable ones, and fixed ones of its protocol. */

/** Limits that come from the settings. */
export interface StateLimits {
  /** Requests per second, for all controllers together. */
  rps: number;
  /** Puts and deletes per second, for all controllers together. */
  writeRps: number;
  /** Maximum size of a value, in bytes of JSON. */
  valueBytes: number;
  /** Maximum number of puts and deletes in one transaction. */
  txnOps: number;
  /**
   * Value limit from which older versions derive the tasks per progress record (`ProgressLayout`). Defaults to
   * `valueBytes`.
   */
  layoutBytes?: number;
}

/** Bytes of conditions and changes in one transaction: its limit of 64 KiB less 4 KiB for the enclosing message. */
export const MAX_TXN_BYTES = 60 * 1024;
/** Maximum size of a written value, whatever the settings allow: its key must fit in the transaction, too. */
export const MAX_VALUE_BYTES = 56 * 1024;
/** A transaction may have this many conditions for each change that it may have. */
export const CONDITIONS_PER_CHANGE = 4;

/** Size of a value encoded as JSON, in bytes; the state service applies its limits to this size. */
export function sizeInJson(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
