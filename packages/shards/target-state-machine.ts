/**
 * State machine of the target of a planned transfer, without clock and I/O. The target records that it is prepared,
 * with the lease that will hold the shard's key. It makes itself the leader once the source has recorded that it makes
 * no more decisions. Both writes are conditional on the source's term and on the version of the migration record
 * (docs/safety.md, point 11).
 */
import { encodeLeader, shardKey } from '#store';
import {
  migrationKey,
  type MigrationRecord,
  type MigrationResult,
  type ObservedMigration,
} from './migration-record.js';
import { encodeMigration } from './migration-record-codec.js';
import {
  endMigration,
  migrationConditions,
  type Transaction,
  type TransactionOutcome,
} from './migration-transaction.js';

/** Input of one step of the state machine. */
export interface TargetView {
  shard: number;
  /** This controller's name. */
  name: string;
  /** An election lease that is certainly alive; null while there is none. */
  leaseId: number | null;
  /** Version of the shard's key as last observed; 0 while the shard has no leader. */
  shardVersion: number;
  /** The migration record as last delivered by the watch; null if there is none. */
  migration: ObservedMigration | null;
  /** The state service serves this controller, which has loaded all jobs and does not lead. */
  ready: boolean;
}

/** Progress of the target in a transfer. */
export type TargetState =
  | { phase: 'idle' }
  /** The transaction that makes this controller the leader was sent, and may be applied even if no answer arrives. */
  | { phase: 'switching'; migrationVersion: number; fromTerm: number };

/** Next action of the target, which is the controller that is to take over the shard. */
export type TargetAction =
  | { kind: 'wait' }
  /** Prefetch the records, then record that the target is ready. */
  | { kind: 'prepare'; transaction: Transaction }
  /** Become the leader. */
  | { kind: 'switch'; transaction: Transaction };

/** The state to keep, and the action to carry out. */
export interface TargetStep {
  state: TargetState;
  action: TargetAction;
}

/** The state of a controller that is the target of no migration. */
export const IDLE: TargetState = { phase: 'idle' };

const WAIT: TargetAction = { kind: 'wait' };

/** Whether a transaction that makes this controller the leader may still be applied. */
export function mayTakeShard({ phase }: TargetState): boolean {
  return phase === 'switching';
}

/** Takes one step. A transaction that got no answer is sent again unchanged. */
export function stepTarget(state: TargetState, view: TargetView): TargetStep {
  const wait: TargetStep = { state: dropObsoleteSwitch(state, view), action: WAIT };
  const { name, leaseId, shardVersion } = view;
  const migration = view.migration;
  const record = migration?.record ?? null;
  if (migration === null || record === null) return wait;
  const isTarget = record.target === name && record.fromTerm === shardVersion;
  if (!isTarget || !view.ready || leaseId === null) return wait;
  const isPrepared = record.phase !== 'requested' && record.leaseId === leaseId;
  if (!isPrepared) {
    if (record.phase === 'quiesced') return wait;
    const transaction = prepareTransaction(record, migration.version, leaseId, view);
    return { state: wait.state, action: { kind: 'prepare', transaction } };
  }
  if (record.phase === 'prepared') return wait;
  const transaction = switchTransaction(record, migration.version, leaseId, view);
  const switching: TargetState = {
    phase: 'switching',
    migrationVersion: migration.version,
    fromTerm: shardVersion,
  };
  return { state: switching, action: { kind: 'switch', transaction } };
}

/** Returns to idle if a condition of the switch has changed: the switch cannot be applied any more. */
function dropObsoleteSwitch(state: TargetState, view: TargetView): TargetState {
  if (state.phase !== 'switching') return state;
  const mayBeApplied =
    view.migration?.version === state.migrationVersion && view.shardVersion === state.fromTerm;
  return mayBeApplied ? state : IDLE;
}

function prepareTransaction(
  { fromTerm, target, reason }: MigrationRecord,
  version: number,
  leaseId: number,
  { shard }: TargetView,
): Transaction {
  const value = encodeMigration({ fromTerm, target, reason, phase: 'prepared', leaseId });
  return {
    conditions: migrationConditions(shard, fromTerm, version),
    changes: [{ put: migrationKey(shard), value }],
  };
}

function switchTransaction(
  { fromTerm, target, reason }: MigrationRecord,
  version: number,
  leaseId: number,
  { shard, name }: TargetView,
): Transaction {
  const value = encodeLeader({ leader: name, leaseId });
  const result: MigrationResult = { outcome: 'moved', target, reason, failureReason: '' };
  return {
    conditions: migrationConditions(shard, fromTerm, version),
    changes: [{ put: shardKey(shard), value, lease: leaseId }, ...endMigration(shard, result)],
  };
}

/** Handles the outcome of the last transaction: only a failure proves that the switch was not applied. */
export function handleTargetOutcome(state: TargetState, outcome: TransactionOutcome): TargetState {
  return outcome.kind === 'failed' ? IDLE : state;
}
