/** Limits on the size of a transaction. */
import { MalformedBody, type Change, type Condition } from '#wire';
import { wireSize } from '#wire/serving';

/** Limits of the state service, which the platform's settings define. */
export interface StateServiceLimits {
  /** Requests per second, including lease renewals and new watches. */
  rps: number;
  /** Puts and deletes per second, including those of transactions whose conditions fail. */
  writeRps: number;
  /** Maximum size of a value in KiB. */
  valueKb: number;
  /** Maximum number of puts and deletes in one transaction. */
  txnOps: number;
}

/** Changes that are applied together if all conditions hold. */
export interface Transaction {
  conditions: Condition[];
  changes: Change[];
}

const CONDITIONS_PER_CHANGE = 4;
const MAX_TXN_BYTES = 64 * 1024;

/** Throws MalformedBody if the transaction exceeds a limit. `body` is the request body that `txn` was parsed from. */
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
