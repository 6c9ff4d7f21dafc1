/** The seeded faults of the shard migration model. */
import { migrationKey, type SourceState, successorPossibleSince, type Transaction } from '#shards';
import { shardKey } from '#store';
import { SHARD } from './state.js';

/** A seeded fault; each one removes one safeguard of a migration. */
export type SeededMigrationFault =
  | 'none'
  /** The leader still takes its election lease as proof after it has recorded that it makes no more decisions. */
  | 'trusts-own-lease'
  /** The leader resumes decisions after a retraction without an answer, as if the migration were undone. */
  | 'resumes-on-silence'
  /** The leader resumes decisions after a retraction whose conditions failed, as if the migration were undone. */
  | 'resumes-on-failure'
  /** The target takes the shard without a condition on the migration record. */
  | 'takes-without-record'
  /** The target takes the shard without a condition on the leader's term. */
  | 'takes-without-term'
  /** The leader records that it has quiesced without a condition on the migration record. */
  | 'quiesces-without-record'
  /** The leader waits for the target without a time limit. */
  | 'waits-without-limit';

/** Returns the transaction as a controller with the seeded fault sends it. */
export function applyTransactionFault(
  kind: 'source' | 'target',
  { conditions, changes }: Transaction,
  seededFault: SeededMigrationFault,
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

/** Whether the leader, in this state of the migration, takes its election lease as proof that no other one leads. */
export function trustsLease(state: SourceState, seededFault: SeededMigrationFault): boolean {
  return seededFault === 'trusts-own-lease' || successorPossibleSince(state) === null;
}
