/** The records that a planned move of a part leaves in the state service. */
import { compileSchema, type Change, type Condition } from '#wire';
import { shardKey, WORLD } from '#store';

/** Changes that are made together, or not at all unless every condition holds. */
export interface Transaction {
  conditions: Condition[];
  changes: Change[];
}

interface MoveBase {
  /** Term of the owner that is to give the part up. */
  fromTerm: number;
  /** Name of the controller that is to own the part. */
  to: string;
  /** Why the move was asked for, in the words of whoever asked. */
  reason: string;
}

/**
 * A move under way. Each phase is durable before anybody acts on it:
 * - `requested`: somebody asks for it;
 * - `prepared`: the target is ready, and keeps the grant alive that the part is to hang on;
 * - `quiesced`: the owner decides nothing more, and takes its own grant as proof of nothing.
 */
export type MoveRecord =
  | (MoveBase & { phase: 'requested' })
  | (MoveBase & { phase: 'prepared' | 'quiesced'; grant: number });

/** A move's record as last seen. */
export interface SeenMove {
  /** Null: it cannot be read, and nothing is done about it but to withdraw it. */
  record: MoveRecord | null;
  version: number;
}

/** How the last move of a part ended. */
export interface MoveResult {
  outcome: 'moved' | 'refused' | 'taken-back';
  to: string;
  reason: string;
  /** What spoke against it; empty if it was carried out. */
  why: string;
}

export function moveKey(shard: number): string {
  return `${WORLD}moves/${shard}`;
}

export function moveResultKey(shard: number): string {
  return `${WORLD}move-results/${shard}`;
}

const text = { type: 'string', maxLength: 200 };
const revision = { type: 'integer', minimum: 0 };

const moveSchema = {
  type: 'object',
  required: ['fromTerm', 'to', 'reason', 'phase'],
  properties: {
    fromTerm: revision,
    to: { ...text, minLength: 1 },
    reason: text,
    phase: { enum: ['requested', 'prepared', 'quiesced'] },
    grant: revision,
  },
  if: { properties: { phase: { enum: ['prepared', 'quiesced'] } } },
  then: { required: ['grant'] },
};

const isMoveRecord = compileSchema<MoveRecord>('moveRecord', moveSchema);

/** Reads a record of any origin; null if it is damaged or of a form that this version does not know. */
export function decodeMove(value: unknown): MoveRecord | null {
  return isMoveRecord(value) ? value : null;
}

/** The part is in this term, and its move's record has this version; 0: there is none. */
export function moveConditions(shard: number, term: number, version: number): Condition[] {
  return [
    { key: shardKey(shard), version: term },
    { key: moveKey(shard), version },
  ];
}

/** The end of a move: its record goes, and what came of it stays. */
export function endMove(shard: number, result: MoveResult): Change[] {
  return [{ delete: moveKey(shard) }, { put: moveResultKey(shard), value: result }];
}
