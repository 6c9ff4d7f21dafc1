/** Limits on the size of a transaction. */
import { MalformedBody, type Change, type Condition } from '#wire';
import { wireSize } from '#wire/serving';

/** Limits of the state service, as the platform's settings give them. */
export interface StateServiceLimits {
  /** Requests a second, renewals and opened watches among them. */
  rps: number;
  /** Puts and deletes a second, also of transactions whose conditions fail. */
  writeRps: number;
  /** Largest value in KiB. */
  valueKb: number;
  /** Puts and deletes of one transaction. */
  txnOps: number;
}

/** Changes that are carried out together if all conditions hold. */
export interface Transaction {
  conditions: Condition[];
  changes: Change[];
}

const CONDITIONS_PER_CHANGE = 4;
const MAX_TXN_BYTES = 64 * 1024;

/** Throws MalformedBody for a transaction over a limit; the body is the one that it was read from. */
export function checkTxn(txn: Transaction, body: unknown, limits: StateServiceLimits): void {
  if (txn.changes.length > limits.txnOps) throw new MalformedBody('too many changes');
  if (txn.conditions.length > limits.txnOps * CONDITIONS_PER_CHANGE) {
    throw new MalformedBody('too many conditions');
  }
  if (wireSize(body) > MAX_TXN_BYTES) throw new MalformedBody('the transaction is too large');
  const maxBytes = limits.valueKb * 1024;
  for (const change of txn.changes) {
    if ('put' in change && wireSize(change.value) > maxBytes) {
      throw new MalformedBody('a value is too large');
    }
  }
}
