/** Limits of the state service: those that settings give, and those of its protocol. */

/** Limits that settings give. */
export interface StateLimits {
  /** Requests a second of all controllers together. */
  rps: number;
  /** Puts and deletes a second of all controllers together. */
  writeRps: number;
  /** Largest value, in bytes of JSON. */
  valueBytes: number;
  /** Puts and deletes of one transaction. */
  txnOps: number;
  /**
   * Value size by which older versions divide what a job's tasks have done (ProgressLayout); `valueBytes` unless
   * given.
   */
  layoutBytes?: number;
}

/** Bytes of a transaction that conditions and changes may fill: of its 64 KiB, the rest is for what encloses them. */
export const TXN_BYTES = 60 * 1024;
/** Largest value that is written, whatever the settings allow: a transaction holds its key, too. */
export const MAX_VALUE_BYTES = 56 * 1024;
/** Conditions that a transaction may have for each change that it may have. */
export const CONDITIONS_PER_CHANGE = 4;

/** Bytes in JSON, by which the state service counts sizes. */
export function sizeInJson(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
