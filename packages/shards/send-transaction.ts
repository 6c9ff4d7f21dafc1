/** Sends the transactions of a migration and applies their changes to the local cache. */
import { NoAnswer, StateRefused, type TxnOutcome } from '#wire';
import type { PrefixCache, StateClient } from '#store';
import type { Transaction, TransactionOutcome } from './migration-transaction.js';

/** Sends a transaction once, and updates the cache if the state service answers that it was applied. */
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
