import { NoAnswer, StateRefused, type TxnOutcome } from '#wire';
import type { PrefixCache, StateClient } from '#store';
import type { Transaction } from './move-record.js';
import type { TransactionOutcome } from './move-source.js';

/** Sends a transaction once; what it has changed is known to the cache at once. */
export async function sendTransaction(
  client: StateClient,
  world: PrefixCache,
  { conditions, changes }: Transaction,
  signal: AbortSignal,
): Promise<TransactionOutcome> {
  let out: TxnOutcome;
  try {
    out = await client.txn(conditions, changes, true, signal);
  } catch (err) {
    if (err instanceof NoAnswer || err instanceof StateRefused) return { kind: 'unknown' };
    throw err;
  }
  if (!out.ok) return { kind: 'failed', keys: 'failed' in out ? out.failed : [] };
  for (const change of changes) {
    if ('put' in change) world.applyLocal(change.put, change.value, out.revision);
    else world.applyLocal(change.delete, undefined, out.revision);
  }
  return { kind: 'applied' };
}
