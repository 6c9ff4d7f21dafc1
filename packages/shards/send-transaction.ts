/** Sends transactions of a migration and keeps the local cache up to date with them. */
import { NoAnswer, StateRefused, type TxnOutcome } from '#wire';
import type { PrefixCache, StateClient } from '#store';
import type { Transaction, TransactionOutcome } from './migration-transaction.js';

/** Sends a transaction once; the cache holds its changes as soon as it is known to be applied. */
export async function sendTransaction(
  client: StateClient,
  world: PrefixCache,
  { conditions, changes }: Transaction,
  signal: AbortSignal,
): Promise<TransactionOutcome> {
  let outcome: TxnOutcome;
  try {
    outcome = await client.txnUrgent(conditions, changes, signal);
  } catch (err) {
    if (err instanceof NoAnswer || err instanceof StateRefused) return { kind: 'unknown' };
    throw err;
  }
  if (!outcome.ok) return { kind: 'failed', keys: 'failed' in outcome ? outcome.failed : [] };
  for (const change of changes) {
    if ('put' in change) world.applyLocal(change.put, change.value, outcome.revision);
    else world.applyLocal(change.delete, undefined, outcome.revision);
  }
  return { kind: 'applied' };
}
