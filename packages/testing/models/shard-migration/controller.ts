/** What a controller of the model does: the production code's steps, on what it has seen so far. */
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
import { mistaken, type MigrationMistake, trustsLease } from './mistakes.js';
import { type ControllerName, type ModelController, type ModelState, SHARD } from './state.js';

const LIMITS = { prepareS: 1, switchS: 1 };
/** Later than all limits. */
const LATE_S = 10;

/** It takes its election lease for proof that nobody else leads, and acts on that. */
export function actsAsLeader({ term, proven, source }: ModelController, mistake: MigrationMistake) {
  return term !== 0 && proven && trustsLease(source, mistake);
}

/** Its watch shows what the state service holds now. */
export function synchronise(state: Draft<ModelState>, name: ControllerName): void {
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

/** A new incarnation, which has seen nothing and has a new election lease. */
export function restart(state: Draft<ModelState>, name: ControllerName): void {
  const { incarnation } = state.controllers[name];
  const leaseId = state.nextLeaseId++;
  state.liveLeases.push(leaseId);
  state.controllers[name] = {
    incarnation: incarnation + 1,
    leaseId,
    proven: true,
    shard: null,
    move: null,
    term: 0,
    source: DECIDING,
    target: IDLE,
    paused: false,
    waiting: null,
  };
}

/** One step of the leader; `late`: all its time limits have passed. */
export function stepLeader(
  state: Draft<ModelState>,
  name: ControllerName,
  late: boolean,
  mistake: MigrationMistake,
): void {
  const controller = state.controllers[name];
  const { state: source, action } = stepSource(controller.source, {
    now: late && mistake !== 'waits-for-ever' ? LATE_S : 0,
    shard: SHARD,
    term: controller.term,
    name,
    migration: controller.move,
    paused: controller.paused,
    findObstacle: () => null,
    limits: LIMITS,
  });
  controller.source = untimed(source);
  act(state, name, action, mistake);
}

function act(
  state: Draft<ModelState>,
  name: ControllerName,
  action: SourceAction,
  mistake: MigrationMistake,
): void {
  const controller = state.controllers[name];
  if (action.kind === 'pause' || action.kind === 'resume') controller.paused = false;
  if (action.kind === 'read') controller.source = handleSourceRead(controller.source, state.move);
  if ('transaction' in action) send(state, name, 'source', action.transaction, mistake);
}

/** One step of the target. */
export function stepCandidate(
  state: Draft<ModelState>,
  name: ControllerName,
  mistake: MigrationMistake,
): void {
  const controller = state.controllers[name];
  const { state: target, action } = stepTarget(controller.target, {
    shard: SHARD,
    name,
    leaseId: controller.proven ? controller.leaseId : null,
    shardVersion: controller.shard?.version ?? 0,
    migration: controller.move,
    ready: controller.term === 0,
  });
  controller.target = target;
  if ('transaction' in action) send(state, name, 'target', action.transaction, mistake);
}

function send(
  state: Draft<ModelState>,
  from: ControllerName,
  kind: 'source' | 'target',
  transaction: Transaction,
  mistake: MigrationMistake,
): void {
  const controller = state.controllers[from];
  controller.waiting = kind;
  const sent = mistaken(kind, transaction, mistake);
  state.pending.push({ from, incarnation: controller.incarnation, transaction: sent });
}

/** An answer has come, or the wait for it is over. */
export function answer(
  state: Draft<ModelState>,
  name: ControllerName,
  outcome: TransactionOutcome,
  mistake: MigrationMistake,
): void {
  const controller = state.controllers[name];
  const { waiting } = controller;
  controller.waiting = null;
  if (waiting === 'target') controller.target = handleTargetOutcome(controller.target, outcome);
  if (waiting !== 'source') return;
  const believed = believe(outcome, controller, mistake);
  const { state: source, action } = handleSourceOutcome(controller.source, believed, {
    shard: SHARD,
  });
  controller.source = untimed(source);
  act(state, name, action, mistake);
}

function believe(
  outcome: TransactionOutcome,
  { source }: ModelController,
  mistake: MigrationMistake,
): TransactionOutcome {
  const believesApplied =
    source.phase === 'retracting' &&
    ((mistake === 'resumes-on-silence' && outcome.kind === 'unknown') ||
      (mistake === 'resumes-on-failure' && outcome.kind === 'failed'));
  return believesApplied ? { kind: 'applied' } : outcome;
}

/** Times are told apart by `late` alone. */
function untimed(source: ModelController['source']): ModelController['source'] {
  if (source.phase === 'deciding') {
    return { ...source, request: source.request && { ...source.request, seenAt: 0 } };
  }
  return source.phase === 'over' ? source : { ...source, since: 0 };
}
