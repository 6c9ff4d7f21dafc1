/** Everything that can happen next in a state of the model. */
import { type Draft, produce, setAutoFreeze } from 'immer';
import type { ModelEvent } from '../exploration/explore.js';
import {
  actsAsOwner,
  answer,
  restart,
  stepCandidate,
  stepOwner,
  synchronise,
} from './controller.js';
import type { MoveMistake } from './mistakes.js';
import { carryOut, endGrant } from './service.js';
import {
  type ControllerName,
  CONTROLLERS,
  type ModelController,
  type ModelState,
} from './state.js';

// Freezing each of some hundred thousand states would take longer than making it.
setAutoFreeze(false);

/** Collects the events that can happen in one state. */
class EventList {
  readonly events: ModelEvent<ModelState>[] = [];

  constructor(
    readonly state: ModelState,
    readonly mistake: MoveMistake,
  ) {}

  add(name: string, trouble: boolean, recipe: (draft: Draft<ModelState>) => void): void {
    this.events.push({ name, trouble, next: produce(this.state, recipe) });
  }
}

export function eventsIn(state: ModelState, mistake: MoveMistake): ModelEvent<ModelState>[] {
  const list = new EventList(state, mistake);
  for (const name of CONTROLLERS) {
    addRequest(list, name);
    addSteps(list, name);
    addClaim(list, name);
    addTroubles(list, name);
  }
  state.pending.forEach((_, index) => addArrival(list, index));
  for (const grant of state.liveGrants) addEndOfGrant(list, grant);
  return list.events;
}

/** Somebody asks that the part be moved to the controller. */
function addRequest(list: EventList, to: ControllerName): void {
  const { part, move, budget } = list.state;
  if (budget.requests === 0 || part === null || move !== null || part.leader === to) return;
  list.add(`request ${to}`, true, (draft) => {
    draft.budget.requests--;
    const fromTerm = part.version;
    const record = { fromTerm, target: to, reason: '', phase: 'requested' } as const;
    draft.move = { record, version: ++draft.revision };
  });
}

function addSteps(list: EventList, name: ControllerName): void {
  const { state, mistake } = list;
  const controller = state.controllers[name];
  if (!sees(controller, state))
    list.add(`${name} sees`, false, (draft) => synchronise(draft, name));
  if (controller.source.phase === 'pausing' && !controller.paused) {
    list.add(`${name} is at rest`, false, (draft) => {
      draft.controllers[name].paused = true;
    });
  }
  if (controller.waiting !== null) return;
  if (controller.term === 0) {
    list.add(`${name} looks as target`, false, (draft) => stepCandidate(draft, name, mistake));
    return;
  }
  for (const late of [false, true]) {
    const when = late ? 'late' : 'in time';
    list.add(`${name} looks as owner ${when}`, false, (draft) => {
      stepOwner(draft, name, late, mistake);
    });
  }
}

/** Its watch has shown all that the state service holds. */
function sees({ part, move }: ModelController, state: ModelState): boolean {
  return part?.version === state.part?.version && move?.version === state.move?.version;
}

/** The part is free: whoever sees that may claim it. */
function addClaim(list: EventList, name: ControllerName): void {
  const { part, controllers, liveGrants } = list.state;
  const { grant, proven, part: seen } = controllers[name];
  if (part !== null || seen !== null || !proven || !liveGrants.includes(grant)) return;
  list.add(`${name} claims`, false, (draft) => {
    draft.part = { leader: name, leaseId: grant, version: ++draft.revision };
    synchronise(draft, name);
  });
}

function addTroubles(list: EventList, name: ControllerName): void {
  const { budget, controllers, liveGrants } = list.state;
  const { proven, grant, waiting } = controllers[name];
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
      if (!liveGrants.includes(grant)) loseGrant(draft, name);
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

/** The state service says that the grant has ended. */
function loseGrant(draft: Draft<ModelState>, name: ControllerName): void {
  const controller = draft.controllers[name];
  controller.grant = draft.nextGrant++;
  draft.liveGrants.push(controller.grant);
  synchronise(draft, name);
}

/** A transaction is carried out; its sender hears of it if it still waits. */
function addArrival(list: EventList, index: number): void {
  const { from, life, transaction } = list.state.pending[index];
  const sender = list.state.controllers[from];
  // Only the newest request of a sender can be the one that it waits for.
  const isNewest = !list.state.pending.slice(index + 1).some((each) => each.from === from);
  const isAwaited = sender.life === life && sender.waiting !== null && isNewest;
  list.add(`transaction of ${from} arrives`, !isAwaited, (draft) => {
    draft.pending.splice(index, 1);
    const outcome = carryOut(draft, transaction);
    if (isAwaited) answer(draft, from, outcome, list.mistake);
  });
}

/** The grant of an earlier life, or one that its controller does not count on, ends. */
function addEndOfGrant(list: EventList, grant: number): void {
  const isTrusted = CONTROLLERS.some((name) => {
    const controller = list.state.controllers[name];
    return controller.grant === grant && controller.proven;
  });
  if (!isTrusted) list.add(`grant ${grant} ends`, false, (draft) => endGrant(draft, grant));
}

/** Controllers that act as the owner although the state service holds another one, or none. */
export function falseOwners(state: ModelState, mistake: MoveMistake): ControllerName[] {
  return CONTROLLERS.filter((name) => {
    const controller = state.controllers[name];
    return actsAsOwner(controller, mistake) && state.part?.version !== controller.term;
  });
}

/** Somebody owns and decides, and no move is under way. */
export function isAtRest({ controllers, move }: ModelState, mistake: MoveMistake): boolean {
  const owners = CONTROLLERS.map((name) => controllers[name]);
  const decides = owners.some(
    (owner) => actsAsOwner(owner, mistake) && owner.source.phase === 'deciding',
  );
  return decides && move === null;
}
