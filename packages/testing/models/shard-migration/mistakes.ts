/** The seeded mistakes of the model of shard migration. */
import { migrationKey, type SourceState, successorPossibleSince, type Transaction } from '#shards';
import { shardKey } from '#store';
import { SHARD } from './state.js';

/** A deliberate seeded fault, each of which takes one guard of a migration away. */
export type MigrationMistake =
  | 'none'
  /** The leader takes its election lease as proof after it has stated that it decides nothing more. */
  | 'trusts-its-grant'
  /** The leader decides again without undoing the move when no answer came. */
  | 'resumes-on-silence'
  /** The leader undoes a move, and takes a failed condition for success. */
  | 'resumes-on-failure'
  /** The target takes the shard whatever has become of the move's record. */
  | 'takes-without-record'
  /** The target takes the shard whoever leads it. */
  | 'takes-without-term'
  /** The leader states that it is quiet, whatever has become of the move's record. */
  | 'quiesces-without-record'
  /** The leader never gives up waiting for the target. */
  | 'waits-for-ever';

/** A transaction as a controller with the seeded fault sends it. */
export function applyTransactionFault(
  kind: 'source' | 'target',
  { conditions, changes }: Transaction,
  seededFault: MigrationMistake,
): Transaction {
  const without = (key: string): Transaction => ({
    conditions: conditions.filter((condition) => condition.key !== key),
    changes,
  });
  if (kind === 'target' && seededFault === 'takes-without-record')
    return without(migrationKey(SHARD));
  if (kind === 'target' && seededFault === 'takes-without-term') return without(shardKey(SHARD));
  if (kind === 'source' && seededFault === 'quiesces-without-record')
    return without(migrationKey(SHARD));
  return { conditions, changes };
}

/** Whether the leader, by its state in the move, takes its election lease as proof that nobody else leads. */
export function trustsLease(state: SourceState, seededFault: MigrationMistake): boolean {
  return seededFault === 'trusts-its-grant' || successorPossibleSince(state) === null;
}
