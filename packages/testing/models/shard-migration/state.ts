/** A small world in which a part moves: the state service's records, two controllers, and transactions on their way. */
import {
  DECIDING,
  IDLE,
  type SeenMove,
  type SourceState,
  type TargetState,
  type Transaction,
} from '#shards';
import type { LeaderRecord } from '#store';

export const PART = 0;
export const CONTROLLERS = ['a', 'b'] as const;
export type ControllerName = (typeof CONTROLLERS)[number];

export type StoredPart = LeaderRecord & { version: number };

/** A transaction that was sent and not carried out yet; it may be at any later time. */
export interface PendingTransaction {
  from: ControllerName;
  /** The life of the controller that waits for the answer. */
  life: number;
  transaction: Transaction;
}

/** One controller. */
export interface ModelController {
  life: number;
  /** Its grant; it changes with each life and when one has ended. */
  grant: number;
  /** By its clock the grant is surely alive. */
  proven: boolean;
  /** What its watch has shown last. */
  part: StoredPart | null;
  move: SeenMove | null;
  /** The term that it holds as far as it knows; 0 if none. */
  term: number;
  source: SourceState;
  target: TargetState;
  paused: boolean;
  /** Who waits for the answer to a transaction. */
  waiting: 'source' | 'target' | null;
}

/** How often each trouble may still happen: what keeps the world finite. */
export interface MoveBudget {
  requests: number;
  crashes: number;
  lapses: number;
  lostAnswers: number;
}

export interface ModelState {
  revision: number;
  part: StoredPart | null;
  move: SeenMove | null;
  liveGrants: number[];
  nextGrant: number;
  controllers: Record<ControllerName, ModelController>;
  pending: PendingTransaction[];
  budget: MoveBudget;
}

/** The first controller owns the part, and all are up. */
export function firstState(budget: MoveBudget): ModelState {
  const part = { leader: 'a', leaseId: 1, version: 1 };
  const controller = (grant: number, term: number): ModelController => ({
    life: 1,
    grant,
    proven: true,
    part,
    move: null,
    term,
    source: DECIDING,
    target: IDLE,
    paused: false,
    waiting: null,
  });
  return {
    revision: 1,
    part,
    move: null,
    liveGrants: [1, 2],
    nextGrant: 3,
    controllers: { a: controller(1, 1), b: controller(2, 0) },
    pending: [],
    budget,
  };
}
