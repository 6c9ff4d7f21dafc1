/** Conditions, changes and outcomes of the compare-and-swap transactions of a migration. */
import type { Change, Condition } from '#wire';
import { shardKey } from '#store';
import { migrationKey, type MigrationResult, migrationResultKey } from './migration-record.js';
import { encodeMigrationResult } from './migration-record-codec.js';

/** Changes that are applied atomically if every condition holds, and not at all otherwise. */
export interface Transaction {
  conditions: Condition[];
  changes: Change[];
}

/** The result of sending a transaction once. */
export type TransactionOutcome =
  | { kind: 'applied' }
  /** Conditions on `keys` did not hold, or the lease of a change had ended: nothing was changed. */
  | { kind: 'failed'; keys: readonly string[] }
  /** No answer came: the transaction may still be applied at any later time. */
  | { kind: 'unknown' };

/** Conditions on the leader's term and on the version of the migration record; version 0: there is no record. */
export function migrationConditions(shard: number, term: number, version: number): Condition[] {
  return [
    { key: shardKey(shard), version: term },
    { key: migrationKey(shard), version },
  ];
}

/** Changes that end a migration: its record is deleted and the result stored. */
export function endMigration(shard: number, result: MigrationResult): Change[] {
  return [
    { delete: migrationKey(shard) },
    { put: migrationResultKey(shard), value: encodeMigrationResult(result) },
  ];
}
