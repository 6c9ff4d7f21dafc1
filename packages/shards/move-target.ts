/**
 * The target's side of a planned move: a state machine without clock and I/O. The target states that it is ready,
 * with the grant that the part is to hang on, and takes the part once the owner has stated that it decides nothing
 * more; both on the condition of the owner's term and of the move's record (docs/safety.md, point 11).
 */
import { encodeLeader, shardKey } from '#store';
import {
  endMove,
  moveConditions,
  moveKey,
  type MoveRecord,
  type MoveResult,
  type SeenMove,
  type Transaction,
} from './move-record.js';
import type { TransactionOutcome } from './move-source.js';

/** What a controller that may become the owner goes by. */
export interface TargetView {
  shard: number;
  /** This controller's name. */
  name: string;
  /** A grant that is surely alive; null while there is none. */
  leaseId: number | null;
  /** Version of the part's key as last seen; 0 while nobody owns the part. */
  shardVersion: number;
  /** The move's record as the watch has shown it last; null if there is none. */
  move: SeenMove | null;
  /** The state service serves this controller, and it knows all jobs. */
  ready: boolean;
}

export type TargetState =
  | { phase: 'idle' }
  /** The transaction that makes this controller the owner may be carried out unseen. */
  | { phase: 'switching'; moveVersion: number; fromTerm: number };

export type TargetAction =
  | { kind: 'wait' }
  | { kind: 'prepare'; transaction: Transaction }
  | { kind: 'switch'; transaction: Transaction };

export interface TargetStep {
  state: TargetState;
  action: TargetAction;
}

export const IDLE: TargetState = { phase: 'idle' };

const WAIT: TargetAction = { kind: 'wait' };

/** A transaction that makes this controller the owner may still be carried out. */
export function mayTakeShard({ phase }: TargetState): boolean {
  return phase === 'switching';
}

/** What to do next; what was sent without an answer is sent again as it was. */
export function stepTarget(state: TargetState, view: TargetView): TargetStep {
  const settled = settle(state, view);
  const { move, name, leaseId, shardVersion } = view;
  const record = move?.record ?? null;
  const isOurs = record !== null && record.to === name && record.fromTerm === shardVersion;
  if (!isOurs || !view.ready || leaseId === null) return { state: settled, action: WAIT };
  if (record.phase === 'requested' || (record.phase === 'prepared' && record.grant !== leaseId)) {
    return { state: settled, action: preparation(record, leaseId, view) };
  }
  if (record.phase !== 'quiesced' || record.grant !== leaseId)
    return { state: settled, action: WAIT };
  const switching = {
    phase: 'switching',
    moveVersion: move!.version,
    fromTerm: shardVersion,
  } as const;
  return { state: switching, action: takeover(record, leaseId, view) };
}

/** Once a condition of the switch is seen to have changed, it can't be carried out any more. */
function settle(state: TargetState, { move, shardVersion }: TargetView): TargetState {
  if (state.phase !== 'switching') return state;
  const isOpen = move?.version === state.moveVersion && shardVersion === state.fromTerm;
  return isOpen ? state : IDLE;
}

function preparation(
  { fromTerm, to, reason }: MoveRecord,
  leaseId: number,
  { shard, move }: TargetView,
): TargetAction {
  const value: MoveRecord = { fromTerm, to, reason, phase: 'prepared', grant: leaseId };
  const transaction = {
    conditions: moveConditions(shard, fromTerm, move!.version),
    changes: [{ put: moveKey(shard), value }],
  };
  return { kind: 'prepare', transaction };
}

function takeover(
  { fromTerm, to, reason }: MoveRecord,
  leaseId: number,
  { shard, move, name }: TargetView,
): TargetAction {
  const value = encodeLeader({ leader: name, leaseId });
  const result: MoveResult = { outcome: 'moved', to, reason, why: '' };
  const transaction = {
    conditions: moveConditions(shard, fromTerm, move!.version),
    changes: [{ put: shardKey(shard), value, lease: leaseId }, ...endMove(shard, result)],
  };
  return { kind: 'switch', transaction };
}

/** The answer to the switch: only one that says that it was not carried out settles it at once. */
export function targetAnswered(state: TargetState, outcome: TransactionOutcome): TargetState {
  return outcome.kind === 'failed' ? IDLE : state;
}
