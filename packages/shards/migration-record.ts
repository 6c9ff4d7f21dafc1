/** Records of shard migrations in the state service. */
import { CLUSTER_PREFIX } from '#store';

/** Fields that a migration record has in every phase. */
interface MigrationBase {
  /** Term of the leader that transfers the shard: the source. */
  fromTerm: number;
  /** Name of the controller that is to become the leader: the target. */
  target: string;
  /** Why the migration was requested: free text from the requester. */
  reason: string;
}

/**
 * A migration under way. Each phase is stored durably before either controller acts on it:
 * - `requested`: an operator asks for it;
 * - `prepared`: the target is ready, and renews the lease that will hold the shard's key;
 * - `quiesced`: the source makes no more decisions, and its election lease no longer proves its leadership.
 */
export type MigrationRecord =
  | (MigrationBase & { phase: 'requested' })
  | (MigrationBase & { phase: 'prepared' | 'quiesced'; leaseId: number });

/** A migration record as last observed. */
export interface ObservedMigration {
  /** Null if the record cannot be decoded; the migration can then only be withdrawn. */
  record: MigrationRecord | null;
  version: number;
}

/** How the last migration of a shard ended. */
export interface MigrationResult {
  /** `taken-back`: the source stayed the leader after it had begun the transfer. */
  outcome: 'moved' | 'refused' | 'taken-back';
  target: string;
  reason: string;
  /** Why the shard was not transferred; empty if it was. */
  failureReason: string;
}

/** Key of the record of the migration under way. */
export function migrationKey(shard: number): string {
  return `${CLUSTER_PREFIX}moves/${shard}`;
}

/** Key of the record of how the last migration ended. */
export function migrationResultKey(shard: number): string {
  return `${CLUSTER_PREFIX}move-results/${shard}`;
}
