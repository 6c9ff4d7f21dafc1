/** Everything that can happen next in a state of the model. */
import type { Draft } from 'immer';
import { EventList } from '../exploration/event-list.js';
import type { ModelEvent } from '../exploration/explore.js';
import {
  actsAsLeader,
  answer,
  restart,
  stepCandidate,
  stepLeader,
  synchronise,
} from './controller.js';
import type { MigrationMistake } from './mistakes.js';
import { carryOut, endLease } from './service.js';
import {
  type ControllerName,
  CONTROLLERS,
  type ModelController,
  type ModelState,
} from './state.js';

type MoveEventList = EventList<ModelState, MigrationMistake>;

/** The events that can happen in the state. */
export function eventsIn(state: ModelState, mistake: MigrationMistake): ModelEvent<ModelState>[] {
  const list: MoveEventList = new EventList(state, mistake);
  for (const name of CONTROLLERS) {
    addRequest(list, name);
    addSteps(list, name);
    addCampaign(list, name);
    addFaults(list, name);
  }
  state.pending.forEach((_, index) => {
    addArrival(list, index);
  });
  for (const leaseId of state.liveLeases) addEndOfLease(list, leaseId);
  return list.events;
}

/** Somebody asks that the shard be moved to the controller. */
function addRequest(list: MoveEventList, to: ControllerName): void {
  const { shard, move, budget } = list.state;
  if (budget.requests === 0 || shard === null || move !== null || shard.leader === to) return;
  list.add(`request ${to}`, true, (draft) => {
    draft.budget.requests--;
    const fromTerm = shard.version;
    const record = { fromTerm, target: to, reason: '', phase: 'requested' } as const;
    draft.move = { record, version: ++draft.revision };
  });
}

function addSteps(list: MoveEventList, name: ControllerName): void {
  const { state, mistake } = list;
  const controller = state.controllers[name];
  if (!isCurrent(controller, state))
    list.add(`${name} sees`, false, (draft) => {
      synchronise(draft, name);
    });
  if (controller.source.phase === 'pausing' && !controller.paused) {
    list.add(`${name} is at rest`, false, (draft) => {
      draft.controllers[name].paused = true;
    });
  }
  if (controller.waiting !== null) return;
  if (controller.term === 0) {
    list.add(`${name} looks as target`, false, (draft) => {
      stepCandidate(draft, name, mistake);
    });
    return;
  }
  for (const late of [false, true]) {
    const when = late ? 'late' : 'in time';
    list.add(`${name} looks as owner ${when}`, false, (draft) => {
      stepLeader(draft, name, late, mistake);
    });
  }
}

/** Its watch has shown all that the state service holds. */
function isCurrent({ shard, move }: ModelController, state: ModelState): boolean {
  return shard?.version === state.shard?.version && move?.version === state.move?.version;
}

/** The shard is free: whoever sees that may campaign. */
function addCampaign(list: MoveEventList, name: ControllerName): void {
  const { shard, controllers, liveLeases } = list.state;
  const { leaseId, proven, shard: seen } = controllers[name];
  if (shard !== null || seen !== null || !proven || !liveLeases.includes(leaseId)) return;
  list.add(`${name} claims`, false, (draft) => {
    draft.shard = { leader: name, leaseId, version: ++draft.revision };
    synchronise(draft, name);
  });
}

function addFaults(list: MoveEventList, name: ControllerName): void {
  const { budget, controllers, liveLeases } = list.state;
  const { proven, leaseId, waiting } = controllers[name];
  if (budget.crashes > 0) {
    list.add(`${name} crashes`, true, (draft) => {
      draft.budget.crashes--;
      restart(draft, name);
    });
  }
  if (budget.lapses > 0 && proven) {
    list.add(`${name} is not served`, true, (draft) => {
      draft.budget.lapses--;
      draft.controllers[name].proven = false;
    });
  }
  if (!proven) {
    list.add(`${name} is served again`, false, (draft) => {
      if (!liveLeases.includes(leaseId)) loseLease(draft, name);
      draft.controllers[name].proven = true;
    });
  }
  if (waiting !== null && budget.lostAnswers > 0) {
    list.add(`${name} gets no answer`, true, (draft) => {
      draft.budget.lostAnswers--;
      answer(draft, name, { kind: 'unknown' }, list.mistake);
    });
  }
}

/** The state service says that the election lease has ended. */
function loseLease(draft: Draft<ModelState>, name: ControllerName): void {
  const controller = draft.controllers[name];
  controller.leaseId = draft.nextLeaseId++;
  draft.liveLeases.push(controller.leaseId);
  synchronise(draft, name);
}

/** A transaction is carried out; its sender hears of it if it still waits. */
function addArrival(list: MoveEventList, index: number): void {
  const { from, incarnation, transaction } = list.state.pending[index];
  const sender = list.state.controllers[from];
  // Only the newest request of a sender can be the one that it waits for.
  const isNewest = !list.state.pending.slice(index + 1).some((each) => each.from === from);
  const isExpected = sender.incarnation === incarnation && sender.waiting !== null && isNewest;
  list.add(`transaction of ${from} arrives`, !isExpected, (draft) => {
    draft.pending.splice(index, 1);
    const outcome = carryOut(draft, transaction);
    if (isExpected) answer(draft, from, outcome, list.mistake);
  });
}

/** The election lease of an earlier incarnation, or one that its controller does not count on, ends. */
function addEndOfLease(list: MoveEventList, leaseId: number): void {
  const isTrusted = CONTROLLERS.some((name) => {
    const controller = list.state.controllers[name];
    return controller.leaseId === leaseId && controller.proven;
  });
  if (!isTrusted)
    list.add(`grant ${leaseId} ends`, false, (draft) => {
      endLease(draft, leaseId);
    });
}

/** Controllers that act as the leader although the state service holds another one, or none. */
export function falseLeaders(state: ModelState, mistake: MigrationMistake): ControllerName[] {
  return CONTROLLERS.filter((name) => {
    const controller = state.controllers[name];
    return actsAsLeader(controller, mistake) && state.shard?.version !== controller.term;
  });
}

/** A leader decides, and no migration is under way. */
export function isAtRest({ controllers, move }: ModelState, mistake: MigrationMistake): boolean {
  const leaders = CONTROLLERS.map((name) => controllers[name]);
  const decides = leaders.some(
    (leader) => actsAsLeader(leader, mistake) && leader.source.phase === 'deciding',
  );
  return decides && move === null;
}
