import { migrationKey, type SourceState, successorPossibleSince, type Transaction } from '#shards';
import { shardKey } from '#store';
import { SHARD } from './state.js';

/** A deliberate mistake, each of which takes one guard of a move away. */
export type MigrationMistake =
  | 'none'
  /** The owner takes its grant as proof after it has stated that it decides nothing more. */
  | 'trusts-its-grant'
  /** The owner decides again without undoing the move when no answer came. */
  | 'resumes-on-silence'
  /** The owner undoes a move, and takes a failed condition for success. */
  | 'resumes-on-failure'
  /** The target takes the part whatever has become of the move's record. */
  | 'takes-without-record'
  /** The target takes the part whoever owns it. */
  | 'takes-without-term'
  /** The owner states that it is quiet, whatever has become of the move's record. */
  | 'quiesces-without-record'
  /** The owner never gives up waiting for the target. */
  | 'waits-for-ever';

/** A transaction as a controller with the mistake sends it. */
export function mistaken(
  kind: 'source' | 'target',
  { conditions, changes }: Transaction,
  mistake: MigrationMistake,
): Transaction {
  const without = (key: string): Transaction => ({
    conditions: conditions.filter((condition) => condition.key !== key),
    changes,
  });
  if (kind === 'target' && mistake === 'takes-without-record') return without(migrationKey(SHARD));
  if (kind === 'target' && mistake === 'takes-without-term') return without(shardKey(SHARD));
  if (kind === 'source' && mistake === 'quiesces-without-record')
    return without(migrationKey(SHARD));
  return { conditions, changes };
}

/** Whether the owner, by its state in the move, takes its grant as proof that nobody else owns. */
export function trustsLease(state: SourceState, mistake: MigrationMistake): boolean {
  return mistake === 'trusts-its-grant' || successorPossibleSince(state) === null;
}
