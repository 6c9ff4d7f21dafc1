/** What happens at a machine and between it and its owner. */
import type { Draft } from 'immer';
import type { ReplicaEventList } from './events-of-state.js';
import type { ReplicaMistake } from './mistakes.js';
import { tell } from './leader.js';
import type { Command, Member, ModelMachine, ModelOwner } from './state.js';

/** A command reaches its machine, or is lost. */
export function addArrival(list: ReplicaEventList, at: number, index: number): void {
  const { state, mistake } = list;
  const machine = state.machines[at];
  if (machine.condition === 'up') {
    list.add(`command arrives at ${at}`, false, (draft) => {
      const [arrived] = draft.machines[at].commands.splice(index, 1);
      carryOut(draft.machines[at], arrived, mistake);
    });
  }
  if (state.budget.lostCommands === 0) return;
  list.add(`command to ${at} is lost`, true, (draft) => {
    draft.budget.lostCommands--;
    draft.machines[at].commands.splice(index, 1);
  });
}

function carryOut(machine: Draft<ModelMachine>, arrived: Command, mistake: ReplicaMistake): void {
  if (arrived.token < machine.token && mistake !== 'obeys-old-tokens') return;
  machine.token = Math.max(machine.token, arrived.token);
  const { member, generation } = arrived;
  if (arrived.verb === 'start') machine.task ??= { member, generation };
  else if (isSame(machine.task, arrived)) machine.task = null;
}

/** A report of an up machine reaches the owner, and its answer the machine. */
export function addReport(list: ReplicaEventList, at: number): void {
  const { state, mistake } = list;
  const machine = state.machines[at];
  const { condition, token, task } = machine;
  if (condition !== 'up' || token > state.owner.term) return;
  const place = state.owner.places[at];
  const isNews = place ? !isSame(task, place) || !place.seenRunning : task !== null;
  if (!isNews && token === state.owner.term) return;
  list.add(`${at} reports`, false, (draft) => {
    const machine = draft.machines[at];
    machine.token = state.owner.term;
    const place = draft.owner.places[at];
    if (place === null) {
      // Nothing should run there; the answer ends it.
      machine.task = null;
    } else if (isSame(machine.task, place)) {
      if (!place.seenRunning) {
        place.seenRunning = true;
        const { member, generation } = place;
        tell(draft.owner, { kind: 'running', member, generation }, mistake);
      }
    } else {
      if (machine.task !== null) machine.task = null;
      takeAbsence(draft.owner, machine, at, mistake);
    }
  });
}

/** A report does not list the place's task. */
function takeAbsence(
  owner: Draft<ModelOwner>,
  machine: ModelMachine,
  at: number,
  mistake: ReplicaMistake,
): void {
  const place = owner.places[at]!;
  const mayStillStart = machine.commands.some(
    (each) => each.verb === 'start' && isSame(each, place) && each.token >= machine.token,
  );
  if (mayStillStart || !(place.sent || place.inherited)) return;
  if (place.seenRunning || place.inherited || place.stopping) endPlace(owner, at, mistake);
  else place.sent = false;
}

function endPlace(owner: Draft<ModelOwner>, at: number, mistake: ReplicaMistake): void {
  const { member, generation } = owner.places[at]!;
  owner.places[at] = null;
  tell(owner, { kind: 'gone', member, generation }, mistake);
}

/** Failures of a machine, and what its owner concludes from silence. */
export function addMachineEvents(list: ReplicaEventList, at: number): void {
  const { state, mistake } = list;
  const { condition } = state.machines[at];
  if (condition === 'up' && state.budget.failures > 0) {
    for (const next of ['dead', 'cut'] as const) {
      list.add(`${at} is ${next}`, true, (draft) => {
        draft.budget.failures--;
        draft.machines[at].condition = next;
        if (next === 'dead') endSession(draft.machines[at]);
      });
    }
  }
  if (condition === 'cut') {
    list.add(`${at} is reached again`, false, (draft) => {
      draft.machines[at].condition = 'up';
    });
    list.add(`lease of ${at} ends`, false, (draft) => {
      endSession(draft.machines[at]);
      draft.machines[at].condition = 'dead';
    });
  }
  const isSilent = condition === 'dead' || (condition === 'cut' && mistake === 'trusts-silence');
  if (isSilent && state.owner.places[at] !== null) {
    list.add(`owner gives up what ${at} held`, false, (draft) => {
      endPlace(draft.owner, at, mistake);
      // By then a former owner answers no report any more, and its commands name an older session (points 5 and 7).
      if (draft.former) draft.former.places[at] = null;
    });
  }
  if (condition === 'dead' && state.owner.places[at] === null) {
    list.add(`${at} is replaced`, false, (draft) => {
      draft.machines[at].condition = 'up';
    });
  }
}

/** Everything on the machine is gone, and commands to its session have no effect any more. */
function endSession(machine: Draft<ModelMachine>): void {
  machine.task = null;
  machine.commands = [];
}

function isSame(one: Member | null, other: Member): boolean {
  return one !== null && one.member === other.member && one.generation === other.generation;
}
