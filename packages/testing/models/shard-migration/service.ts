/** The state service of the shard migration model. */
import type { Draft } from 'immer';
import { decodeMigration, migrationKey, type Transaction, type TransactionOutcome } from '#shards';
import { decodeLeader, shardKey } from '#store';
import { type ModelState, SHARD } from './state.js';

/** Applies a transaction, or returns the keys of the conditions that do not hold. */
export function applyTransaction(
  state: Draft<ModelState>,
  transaction: Transaction,
): TransactionOutcome {
  const { conditions, changes } = transaction;
  const version = (key: string) =>
    (key === shardKey(SHARD) ? state.shard : state.move)?.version ?? 0;
  const keys = conditions
    .filter((each) => version(each.key) !== each.version)
    .map(({ key }) => key);
  const lease = changes.map((change) => ('put' in change ? change.lease : undefined)).find(Boolean);
  if (keys.length > 0) return { kind: 'failed', keys };
  if (lease !== undefined && !state.liveLeases.includes(lease)) return { kind: 'failed', keys: [] };
  if (changes.length > 0) state.revision++;
  for (const change of changes) {
    if ('delete' in change) {
      if (change.delete === migrationKey(SHARD)) state.move = null;
    } else if (change.put === shardKey(SHARD)) {
      state.shard = { ...decodeLeader(change.value), version: state.revision };
    } else if (change.put === migrationKey(SHARD)) {
      state.move = { record: decodeMigration(change.value), version: state.revision };
    }
  }
  return { kind: 'applied' };
}

/** Ends an election lease and deletes the shard's key if it depends on this lease. */
export function endLease(state: Draft<ModelState>, leaseId: number): void {
  state.liveLeases = state.liveLeases.filter((each) => each !== leaseId);
  if (state.shard?.leaseId !== leaseId) return;
  state.shard = null;
  state.revision++;
}
