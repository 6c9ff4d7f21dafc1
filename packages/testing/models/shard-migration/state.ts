/** A small world in which a shard moves: the state service's records, two controllers, and transactions on their way. */
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

/** A transaction that was sent and not carried out yet; it may be at any later time. */
export interface InFlightTransaction {
  from: ControllerName;
  /** The incarnation of the controller that waits for the answer. */
  incarnation: number;
  transaction: Transaction;
}

/** One controller. */
export interface ModelController {
  incarnation: number;
  /** Its election lease; it changes with each incarnation and when one has ended. */
  leaseId: number;
  /** By its clock the election lease is surely alive. */
  leaseProven: boolean;
  /** What its watch has shown last. */
  shard: StoredShard | null;
  move: ObservedMigration | null;
  /** The term that it holds as far as it knows; 0 if none. */
  term: number;
  source: SourceState;
  target: TargetState;
  paused: boolean;
  /** Who waits for the answer to a transaction. */
  waiting: 'source' | 'target' | null;
}

/** How often each fault may still happen: what keeps the world finite. */
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

/** The first controller leads the shard, and all are up. */
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
