/** The records that the migration of a shard leaves in the state service. */
import { WORLD } from '#store';

/** What every phase of a migration records. */
interface MigrationBase {
  /** Term of the leader that is to transfer the shard: the source of the transfer. */
  fromTerm: number;
  /** Name of the controller that is to lead the shard: the target of the transfer. */
  target: string;
  /** Why the migration was requested, in the words of whoever requested it. */
  reason: string;
}

/**
 * A migration under way. Each phase is durable before anybody acts on it:
 * - `requested`: an operator asks for it;
 * - `prepared`: the target is ready, and renews the lease that will hold the shard's key;
 * - `quiesced`: the source makes no more decisions, and its election lease proves nothing any more.
 */
export type MigrationRecord =
  | (MigrationBase & { phase: 'requested' })
  | (MigrationBase & { phase: 'prepared' | 'quiesced'; leaseId: number });

/** A migration's record as last observed. */
export interface ObservedMigration {
  /** Null: it cannot be read, and all that can be done about it is to withdraw it. */
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
  return `${WORLD}moves/${shard}`;
}

/** Key of the record of how the last migration ended. */
export function migrationResultKey(shard: number): string {
  return `${WORLD}move-results/${shard}`;
}
