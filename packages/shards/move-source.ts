/**
 * The owner's side of a planned move: a state machine without clock and I/O. The owner stops deciding, states so in
 * the move's record, and from the moment at which it sends that no longer takes its grant as proof that nobody else
 * owns. It decides again only once it knows for certain that the target can't become the owner any more
 * (docs/safety.md, point 11).
 */
import { shardKey } from '#store';
import {
  endMove,
  moveConditions,
  moveKey,
  type MoveRecord,
  type MoveResult,
  type SeenMove,
  type Transaction,
} from './move-record.js';

/** What the owner goes by; times are steady seconds. */
export interface SourceView {
  now: number;
  shard: number;
  /** The owner's term. */
  term: number;
  /** The owner's name. */
  name: string;
  /** The move's record as the watch has shown it last; null if there is none. */
  move: SeenMove | null;
  /** All decisions have stopped, and none is on its way to the state service. */
  paused: boolean;
  /** What keeps the controller of that name from becoming the owner now; null if nothing does. */
  obstacle: (controller: string) => string | null;
  limits: MoveLimits;
}

/** How long the owner waits for the others; seconds. */
export interface MoveLimits {
  /** From when a request is seen until its target is prepared, and for decisions to stop. */
  prepareS: number;
  /** For the target to take the part once decisions have stopped. */
  switchS: number;
}

export type SourceState =
  | { phase: 'deciding'; request: { version: number; seenAt: number } | null }
  | { phase: 'pausing'; preparedVersion: number; since: number }
  /** The record that says so is on its way, and may arrive at any time from now on. */
  | { phase: 'quiescing'; preparedVersion: number; since: number }
  | { phase: 'quiesced'; preparedVersion: number; since: number }
  | Retracting
  /** Another controller owns the part: the watch will show it. */
  | { phase: 'over' };

/** The move is to be undone. */
interface Retracting {
  phase: 'retracting';
  preparedVersion: number;
  since: number;
  why: string;
  /** What a read has shown since then; undefined before one has. */
  seen?: SeenMove | null;
}

export type SourceAction =
  | { kind: 'wait' }
  /** Stop all decisions. */
  | { kind: 'pause'; to: string }
  /** Decide again, as before the move. */
  | { kind: 'resume' }
  /** Read the move's record in the state service. */
  | { kind: 'read' }
  | { kind: 'refuse'; to: string; why: string; transaction: Transaction }
  | { kind: 'quiesce'; transaction: Transaction }
  | { kind: 'retract'; transaction: Transaction };

/** What became of a transaction; `unknown`: no answer came, and it may still be carried out. */
export type TransactionOutcome =
  { kind: 'applied' } | { kind: 'failed'; keys: readonly string[] } | { kind: 'unknown' };

export interface SourceStep {
  state: SourceState;
  action: SourceAction;
}

export const DECIDING: SourceState = { phase: 'deciding', request: null };

const WAIT: SourceAction = { kind: 'wait' };

/**
 * Since when a successor may own without the owner knowing, so that its grant proves nothing; null if none may.
 * Steady seconds.
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

/** What to do next; `state` is to be kept whether or not there is anything to do. */
export function stepSource(state: SourceState, view: SourceView): SourceStep {
  switch (state.phase) {
    case 'deciding':
      return stepDeciding(state, view);
    case 'pausing':
      return stepPausing(state, view);
    case 'quiesced':
      if (view.now - state.since <= view.limits.switchS) return { state, action: WAIT };
      return retracting(state, `${targetOf(view)} did not take the part in time`);
    case 'retracting':
      return { state, action: retraction(state, view) };
    case 'quiescing':
    case 'over':
      return { state, action: WAIT };
  }
}

function stepDeciding(state: SourceState & { phase: 'deciding' }, view: SourceView): SourceStep {
  const { move, now } = view;
  if (move === null || move.record === null || move.record.fromTerm > view.term) {
    return { state: DECIDING, action: WAIT };
  }
  const known = state.request;
  const request = { version: move.version, seenAt: known?.seenAt ?? now };
  const next: SourceState = { phase: 'deciding', request };
  const why = refusal(move.record, now - request.seenAt, view);
  if (why !== null) return { state: next, action: refuse(move, move.record, why, view) };
  if (move.record.phase === 'requested') return { state: next, action: WAIT };
  const pausing = { phase: 'pausing', preparedVersion: move.version, since: now } as const;
  return { state: pausing, action: { kind: 'pause', to: move.record.to } };
}

/** Why the move is not to be carried out; null if nothing speaks against it. */
function refusal(record: MoveRecord, waitedS: number, view: SourceView): string | null {
  if (record.fromTerm < view.term) return 'the part has changed its owner since';
  if (record.phase === 'quiesced') return 'it was undone';
  if (record.to === view.name) return `${record.to} owns the part already`;
  const obstacle = view.obstacle(record.to);
  if (obstacle !== null && record.phase === 'prepared') return obstacle;
  if (waitedS <= view.limits.prepareS) return null;
  return obstacle ?? `${record.to} was not prepared in time`;
}

function refuse(
  { version }: SeenMove,
  { to, reason }: MoveRecord,
  why: string,
  { shard, term }: SourceView,
): SourceAction {
  const result: MoveResult = { outcome: 'refused', to, reason, why };
  const transaction = {
    conditions: moveConditions(shard, term, version),
    changes: endMove(shard, result),
  };
  return { kind: 'refuse', to, why, transaction };
}

function stepPausing(state: SourceState & { phase: 'pausing' }, view: SourceView): SourceStep {
  const { preparedVersion, since } = state;
  const { move, now, shard, term } = view;
  if (move?.version !== preparedVersion || move.record?.phase !== 'prepared') {
    return { state: DECIDING, action: { kind: 'resume' } };
  }
  if (now - since > view.limits.prepareS) {
    return retracting(state, 'decisions did not stop in time');
  }
  if (!view.paused) return { state, action: WAIT };
  const value: MoveRecord = { ...move.record, phase: 'quiesced' };
  const transaction = {
    conditions: moveConditions(shard, term, preparedVersion),
    changes: [{ put: moveKey(shard), value }],
  };
  const quiescing = { phase: 'quiescing', preparedVersion, since: now } as const;
  return { state: quiescing, action: { kind: 'quiesce', transaction } };
}

function retracting(
  { preparedVersion, since }: { preparedVersion: number; since: number },
  why: string,
): SourceStep {
  const state = { phase: 'retracting', preparedVersion, since, why } as const;
  return { state, action: { kind: 'read' } };
}

/**
 * Undoes the move on the condition of the term and of what was read. If the record is neither quiesced nor the one
 * that may still become so, nothing is to be changed: then the same conditions alone are put to the test.
 */
function retraction(
  { preparedVersion, why, seen }: Retracting,
  { shard, term }: SourceView,
): SourceAction {
  if (seen === undefined) return { kind: 'read' };
  const conditions = moveConditions(shard, term, seen?.version ?? 0);
  const mayBeTaken = seen?.record?.phase === 'quiesced' || seen?.version === preparedVersion;
  const { to = '', reason = '' } = seen?.record ?? {};
  const result: MoveResult = { outcome: 'taken-back', to, reason, why };
  const changes = mayBeTaken ? endMove(shard, result) : [];
  return { kind: 'retract', transaction: { conditions, changes } };
}

/** What a read of the move's record has shown; null if there is none. */
export function sourceRead(state: SourceState, seen: SeenMove | null): SourceState {
  return state.phase === 'retracting' ? { ...state, seen } : state;
}

/** The answer to the transaction that the last step asked for. */
export function sourceAnswered(
  state: SourceState,
  outcome: TransactionOutcome,
  { shard }: Pick<SourceView, 'shard'>,
): SourceStep {
  if (state.phase === 'quiescing') {
    if (outcome.kind === 'applied') return { state: { ...state, phase: 'quiesced' }, action: WAIT };
    return retracting(state, 'that decisions stopped could not be recorded');
  }
  if (state.phase !== 'retracting') return { state, action: WAIT };
  if (outcome.kind === 'applied') return { state: DECIDING, action: { kind: 'resume' } };
  const isOver = outcome.kind === 'failed' && outcome.keys.includes(shardKey(shard));
  if (isOver) return { state: { phase: 'over' }, action: WAIT };
  return retracting(state, state.why);
}

function targetOf({ move }: SourceView): string {
  return move?.record?.to ?? 'the target';
}
