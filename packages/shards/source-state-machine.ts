/**
 * State machine of the source of a planned transfer, without clock and I/O. The leader stops all decisions and writes
 * the phase `quiesced` to the migration record. From the moment at which it sends this write, it no longer takes its
 * election lease as proof that nobody else leads. It decides again only once it is certain that the target cannot
 * become the leader any more (docs/safety.md, point 11).
 *
 * Reasons of refusals are stored with the result and printed by the command line: their texts must not change.
 */
import { shardKey } from '#store';
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

/** Input of one step of the state machine; times are seconds of the monotonic clock. */
export interface SourceView {
  now: number;
  shard: number;
  /** The leader's term. */
  term: number;
  /** The leader's name. */
  name: string;
  /** The migration record as last delivered by the watch; null if there is none. */
  migration: ObservedMigration | null;
  /** All decisions have stopped, and none is in flight to the state service. */
  paused: boolean;
  /** Returns what keeps the controller from becoming the leader now; null if nothing does. */
  findObstacle: (controller: string) => string | null;
  limits: MigrationLimits;
}

/** Maximum waits of the leader during a migration, in seconds. */
export interface MigrationLimits {
  /** For the target to be prepared, from when the leader first sees the request; also for decisions to stop. */
  prepareS: number;
  /** For the target to become the leader once decisions have stopped. */
  switchS: number;
}

/** Progress of the source in a transfer. */
export type SourceState =
  | { phase: 'deciding'; request: { version: number; seenAt: number } | null }
  | { phase: 'pausing'; preparedVersion: number; since: number }
  /** The write of `quiesced` was sent, and may be applied at any time from now on. */
  | { phase: 'quiescing'; preparedVersion: number; since: number }
  | { phase: 'quiesced'; preparedVersion: number; since: number }
  | RetractingState
  /** Another controller leads the shard; the watch will show the new leader. */
  | { phase: 'over' };

/** The source undoes the migration. */
interface RetractingState {
  phase: 'retracting';
  preparedVersion: number;
  since: number;
  failureReason: string;
  /** The record as read since the retraction began, null if there was none; undefined until it is read. */
  lastRead?: ObservedMigration | null;
}

/** Next action of the source, which is the leader that hands the shard over. */
export type SourceAction =
  | { kind: 'wait' }
  /** Stop all decisions. */
  | { kind: 'pause'; target: string }
  /** Make decisions again, as before the migration. */
  | { kind: 'resume' }
  /** Read the migration's record in the state service. */
  | { kind: 'read' }
  | { kind: 'refuse'; target: string; failureReason: string; transaction: Transaction }
  | { kind: 'quiesce'; transaction: Transaction }
  | { kind: 'retract'; transaction: Transaction };

/** The state to keep, and the action to carry out. */
export interface SourceStep {
  state: SourceState;
  action: SourceAction;
}

/** The state of a leader while there is no migration. */
export const DECIDING: SourceState = { phase: 'deciding', request: null };

const WAIT: SourceAction = { kind: 'wait' };

/**
 * Time from which on a successor may lead without the source knowing, so that the source's election lease no
 * longer proves its leadership; null if no successor may lead. Seconds of the monotonic clock.
 */
export function successorPossibleSince(state: SourceState): number | null {
  switch (state.phase) {
    case 'deciding':
    case 'pausing':
      return null;
    case 'quiescing':
    case 'quiesced':
    case 'retracting':
      return state.since;
    case 'over':
      return -Infinity;
  }
}

/** Takes one step. The caller keeps the returned state, even if the action is `wait`. */
export function stepSource(state: SourceState, view: SourceView): SourceStep {
  switch (state.phase) {
    case 'deciding':
      return stepDeciding(state, view);
    case 'pausing':
      return stepPausing(state, view);
    case 'quiesced':
      if (view.now - state.since <= view.limits.switchS) return { state, action: WAIT };
      return beginRetraction(state, `${targetName(view)} did not take the part in time`);
    case 'retracting':
      return { state, action: retractOrRead(state, view) };
    case 'quiescing':
    case 'over':
      return { state, action: WAIT };
  }
}

function stepDeciding(state: SourceState & { phase: 'deciding' }, view: SourceView): SourceStep {
  const migration = view.migration;
  const record = migration?.record ?? null;
  if (migration === null || record === null || record.fromTerm > view.term) {
    return { state: DECIDING, action: WAIT };
  }
  const seenAt = state.request?.seenAt ?? view.now;
  const next: SourceState = { phase: 'deciding', request: { version: migration.version, seenAt } };
  const failureReason = refusalReason(record, view.now - seenAt, view);
  if (failureReason !== null) {
    return { state: next, action: createRefusal(record, migration.version, failureReason, view) };
  }
  if (record.phase === 'requested') return { state: next, action: WAIT };
  const pausing: SourceState = {
    phase: 'pausing',
    preparedVersion: migration.version,
    since: view.now,
  };
  return { state: pausing, action: { kind: 'pause', target: record.target } };
}

/** Returns why the migration is refused; null if it is not. */
function refusalReason(record: MigrationRecord, waitedS: number, view: SourceView): string | null {
  if (record.fromTerm < view.term) return 'the part has changed its owner since';
  if (record.phase === 'quiesced') return 'it was undone';
  if (record.target === view.name) return `${record.target} owns the part already`;
  const obstacle = view.findObstacle(record.target);
  if (obstacle !== null && record.phase === 'prepared') return obstacle;
  if (waitedS <= view.limits.prepareS) return null;
  return obstacle ?? `${record.target} was not prepared in time`;
}

function createRefusal(
  { target, reason }: MigrationRecord,
  version: number,
  failureReason: string,
  { shard, term }: SourceView,
): SourceAction {
  const result: MigrationResult = { outcome: 'refused', target, reason, failureReason };
  const transaction = {
    conditions: migrationConditions(shard, term, version),
    changes: endMigration(shard, result),
  };
  return { kind: 'refuse', target, failureReason, transaction };
}

function stepPausing(state: SourceState & { phase: 'pausing' }, view: SourceView): SourceStep {
  const { preparedVersion, since } = state;
  const { now, shard, term } = view;
  const migration = view.migration;
  if (migration?.version !== preparedVersion || migration.record?.phase !== 'prepared') {
    return { state: DECIDING, action: { kind: 'resume' } };
  }
  if (now - since > view.limits.prepareS) {
    return beginRetraction(state, 'decisions did not stop in time');
  }
  if (!view.paused) return { state, action: WAIT };
  const value = encodeMigration({ ...migration.record, phase: 'quiesced' });
  const transaction = {
    conditions: migrationConditions(shard, term, preparedVersion),
    changes: [{ put: migrationKey(shard), value }],
  };
  const quiescing = { phase: 'quiescing', preparedVersion, since: now } as const;
  return { state: quiescing, action: { kind: 'quiesce', transaction } };
}

function beginRetraction(
  { preparedVersion, since }: { preparedVersion: number; since: number },
  failureReason: string,
): SourceStep {
  const state = { phase: 'retracting', preparedVersion, since, failureReason } as const;
  return { state, action: { kind: 'read' } };
}

/**
 * Undoes the migration if the term and the record are still as they were when the record was read. If the record is
 * neither quiesced nor in the version that the write of `quiesced` expects, the target cannot become the leader: the
 * transaction then tests its conditions and changes nothing.
 */
function retractOrRead(
  { preparedVersion, failureReason, lastRead }: RetractingState,
  { shard, term }: SourceView,
): SourceAction {
  if (lastRead === undefined) return { kind: 'read' };
  const conditions = migrationConditions(shard, term, lastRead?.version ?? 0);
  const targetMayStillLead =
    lastRead?.record?.phase === 'quiesced' || lastRead?.version === preparedVersion;
  const { target = '', reason = '' } = lastRead?.record ?? {};
  const result: MigrationResult = { outcome: 'taken-back', target, reason, failureReason };
  const changes = targetMayStillLead ? endMigration(shard, result) : [];
  return { kind: 'retract', transaction: { conditions, changes } };
}

/** Handles a read of the migration record; `lastRead` is null if there is none. */
export function handleSourceRead(
  state: SourceState,
  lastRead: ObservedMigration | null,
): SourceState {
  return state.phase === 'retracting' ? { ...state, lastRead } : state;
}

/** Handles the outcome of the transaction that the last step requested. */
export function handleSourceOutcome(
  state: SourceState,
  outcome: TransactionOutcome,
  { shard }: Pick<SourceView, 'shard'>,
): SourceStep {
  if (state.phase === 'quiescing') {
    if (outcome.kind === 'applied') return { state: { ...state, phase: 'quiesced' }, action: WAIT };
    return beginRetraction(state, 'that decisions stopped could not be recorded');
  }
  if (state.phase !== 'retracting') return { state, action: WAIT };
  if (outcome.kind === 'applied') return { state: DECIDING, action: { kind: 'resume' } };
  const hasOtherLeader = outcome.kind === 'failed' && outcome.keys.includes(shardKey(shard));
  if (hasOtherLeader) return { state: { phase: 'over' }, action: WAIT };
  return beginRetraction(state, state.failureReason);
}

function targetName(view: SourceView): string {
  return view.migration?.record?.target ?? 'the target';
}
