/** A controller of the model: it runs the production code's state machines on the records that it has seen. */
import type { Draft } from 'immer';
import {
  DECIDING,
  IDLE,
  type SourceAction,
  handleSourceOutcome,
  handleSourceRead,
  stepSource,
  stepTarget,
  handleTargetOutcome,
  type Transaction,
  type TransactionOutcome,
} from '#shards';
import { applyTransactionFault, type SeededMigrationFault, trustsLease } from './seeded-faults.js';
import { type ControllerName, type ModelController, type ModelState, SHARD } from './state.js';

const LIMITS = { prepareS: 1, switchS: 1 };
/** A time after all limits. */
const LATE_S = 10;

/** Whether the controller acts as leader: it takes its election lease as proof that no other controller leads. */
export function actsAsLeader(
  { term, leaseProven, source }: ModelController,
  seededFault: SeededMigrationFault,
) {
  return term !== 0 && leaseProven && trustsLease(source, seededFault);
}

/** Brings the controller's view of the records up to date with the state service. */
export function applyWatchUpdates(state: Draft<ModelState>, name: ControllerName): void {
  const controller = state.controllers[name];
  controller.shard = state.shard;
  controller.move = state.move;
  const term = state.shard?.leaseId === controller.leaseId ? state.shard.version : 0;
  if (term === controller.term) return;
  controller.term = term;
  controller.source = DECIDING;
  controller.paused = false;
  if (controller.waiting === 'source') controller.waiting = null;
}

/** Restarts the controller: the new incarnation has seen no records and has a new election lease. */
export function restartController(state: Draft<ModelState>, name: ControllerName): void {
  const { incarnation } = state.controllers[name];
  const leaseId = state.nextLeaseId++;
  state.liveLeases.push(leaseId);
  state.controllers[name] = {
    incarnation: incarnation + 1,
    leaseId,
    leaseProven: true,
    shard: null,
    move: null,
    term: 0,
    source: DECIDING,
    target: IDLE,
    paused: false,
    waiting: null,
  };
}

/** Runs one step of the leader, the source of the migration. With `late`, all its time limits have passed. */
export function stepLeader(
  state: Draft<ModelState>,
  name: ControllerName,
  late: boolean,
  seededFault: SeededMigrationFault,
): void {
  const controller = state.controllers[name];
  const { state: source, action } = stepSource(controller.source, {
    now: late && seededFault !== 'waits-without-limit' ? LATE_S : 0,
    shard: SHARD,
    term: controller.term,
    name,
    migration: controller.move,
    paused: controller.paused,
    findObstacle: () => null,
    limits: LIMITS,
  });
  controller.source = withoutTimes(source);
  applyAction(state, name, action, seededFault);
}

function applyAction(
  state: Draft<ModelState>,
  name: ControllerName,
  action: SourceAction,
  seededFault: SeededMigrationFault,
): void {
  const controller = state.controllers[name];
  if (action.kind === 'pause' || action.kind === 'resume') controller.paused = false;
  if (action.kind === 'read') controller.source = handleSourceRead(controller.source, state.move);
  if ('transaction' in action)
    sendTransaction(state, name, 'source', action.transaction, seededFault);
}

/** Runs one step of the target of the migration. */
export function stepTransferTarget(
  state: Draft<ModelState>,
  name: ControllerName,
  seededFault: SeededMigrationFault,
): void {
  const controller = state.controllers[name];
  const { state: target, action } = stepTarget(controller.target, {
    shard: SHARD,
    name,
    leaseId: controller.leaseProven ? controller.leaseId : null,
    shardVersion: controller.shard?.version ?? 0,
    migration: controller.move,
    ready: controller.term === 0,
  });
  controller.target = target;
  if ('transaction' in action)
    sendTransaction(state, name, 'target', action.transaction, seededFault);
}

function sendTransaction(
  state: Draft<ModelState>,
  from: ControllerName,
  kind: 'source' | 'target',
  transaction: Transaction,
  seededFault: SeededMigrationFault,
): void {
  const controller = state.controllers[from];
  controller.waiting = kind;
  const sent = applyTransactionFault(kind, transaction, seededFault);
  state.inFlight.push({ from, incarnation: controller.incarnation, transaction: sent });
}

/** Handles the answer to a transaction, or the timeout of the wait for it. */
export function handleAnswer(
  state: Draft<ModelState>,
  name: ControllerName,
  outcome: TransactionOutcome,
  seededFault: SeededMigrationFault,
): void {
  const controller = state.controllers[name];
  const { waiting } = controller;
  controller.waiting = null;
  if (waiting === 'target') controller.target = handleTargetOutcome(controller.target, outcome);
  if (waiting !== 'source') return;
  const observed = applyOutcomeFault(outcome, controller, seededFault);
  const { state: source, action } = handleSourceOutcome(controller.source, observed, {
    shard: SHARD,
  });
  controller.source = withoutTimes(source);
  applyAction(state, name, action, seededFault);
}

function applyOutcomeFault(
  outcome: TransactionOutcome,
  { source }: ModelController,
  seededFault: SeededMigrationFault,
): TransactionOutcome {
  const isTakenAsApplied =
    source.phase === 'retracting' &&
    ((seededFault === 'resumes-on-silence' && outcome.kind === 'unknown') ||
      (seededFault === 'resumes-on-failure' && outcome.kind === 'failed'));
  return isTakenAsApplied ? { kind: 'applied' } : outcome;
}

/** Resets the times in the state. The model distinguishes times only by `late`. */
function withoutTimes(source: ModelController['source']): ModelController['source'] {
  if (source.phase === 'deciding') {
    return { ...source, request: source.request && { ...source.request, seenAt: 0 } };
  }
  return source.phase === 'over' ? source : { ...source, since: 0 };
}
