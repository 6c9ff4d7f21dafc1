/** The state of the shard migration model: the records, two controllers, and the transactions in flight. */
import {
  DECIDING,
  IDLE,
  type ObservedMigration,
  type SourceState,
  type TargetState,
  type Transaction,
} from '#shards';
import type { LeaderRecord } from '#store';

/** Number of the shard that migrates. */
export const SHARD = 0;
/** Names of the controllers. */
export const CONTROLLERS = ['a', 'b'] as const;
/** Name of a controller. */
export type ControllerName = (typeof CONTROLLERS)[number];

/** The record of the shard in the state service; its version is the term. */
export type StoredShard = LeaderRecord & { version: number };

/** A sent transaction, which the state service may carry out at any later time. */
export interface InFlightTransaction {
  from: ControllerName;
  /** The incarnation of the controller that waits for the answer. */
  incarnation: number;
  transaction: Transaction;
}

/** A controller and its view of the records. */
export interface ModelController {
  incarnation: number;
  /** Current election lease. A new incarnation gets a new one, as does a controller whose lease has ended. */
  leaseId: number;
  /** By the controller's clock, its election lease is certainly alive. */
  leaseProven: boolean;
  /** The shard record that the controller has seen last. */
  shard: StoredShard | null;
  /** The migration record that the controller has seen last. */
  move: ObservedMigration | null;
  /** The term that the controller holds according to the records it has seen; 0 if none. */
  term: number;
  source: SourceState;
  target: TargetState;
  paused: boolean;
  /** The state machine that waits for the answer to a transaction. */
  waiting: 'source' | 'target' | null;
}

/** How often each fault may still happen. Bounds the state space. */
export interface MigrationBudget {
  requests: number;
  crashes: number;
  lapses: number;
  lostAnswers: number;
}

/** One state of the model. */
export interface ModelState {
  revision: number;
  shard: StoredShard | null;
  move: ObservedMigration | null;
  liveLeases: number[];
  nextLeaseId: number;
  controllers: Record<ControllerName, ModelController>;
  inFlight: InFlightTransaction[];
  budget: MigrationBudget;
}

/** The initial state: controller `a` leads the shard, and both controllers are up. */
export function initialState(budget: MigrationBudget): ModelState {
  const shard = { leader: 'a', leaseId: 1, version: 1 };
  const controller = (leaseId: number, term: number): ModelController => ({
    incarnation: 1,
    leaseId,
    leaseProven: true,
    shard,
    move: null,
    term,
    source: DECIDING,
    target: IDLE,
    paused: false,
    waiting: null,
  });
  return {
    revision: 1,
    shard,
    move: null,
    liveLeases: [1, 2],
    nextLeaseId: 3,
    controllers: { a: controller(1, 1), b: controller(2, 0) },
    inFlight: [],
    budget,
  };
}
