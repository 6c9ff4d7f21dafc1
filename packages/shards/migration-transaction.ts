/** The compare-and-swap transactions of a migration, and what becomes of them. */
import type { Change, Condition } from '#wire';
import { shardKey } from '#store';
import { migrationKey, type MigrationResult, migrationResultKey } from './migration-record.js';
import { encodeMigrationResult } from './migration-record-codec.js';

/** Changes that are made together, or not at all unless every condition holds. */
export interface Transaction {
  conditions: Condition[];
  changes: Change[];
}

/** The result of sending a transaction once. */
export type TransactionOutcome =
  | { kind: 'applied' }
  /** These conditions did not hold, and nothing was changed. */
  | { kind: 'failed'; keys: readonly string[] }
  /** No answer came: the transaction may still be applied at any later time. */
  | { kind: 'unknown' };

/** Holds while the shard is in this term and its migration's record has this version; 0: there is no record. */
export function migrationConditions(shard: number, term: number, version: number): Condition[] {
  return [
    { key: shardKey(shard), version: term },
    { key: migrationKey(shard), version },
  ];
}

/** Ends a migration: removes its record and stores the result. */
export function endMigration(shard: number, result: MigrationResult): Change[] {
  return [
    { delete: migrationKey(shard) },
    { put: migrationResultKey(shard), value: encodeMigrationResult(result) },
  ];
}
