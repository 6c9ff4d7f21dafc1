/** What happens at a machine and between it and its leader. */
import type { Draft } from 'immer';
import type { ReplicaEventList } from './events-of-state.js';
import type { ReplicaMistake } from './mistakes.js';
import { applyEvent } from './leader.js';
import {
  type Command,
  type Member,
  type ModelMachine,
  type ModelLeader,
  placeAt,
} from './state.js';

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
  if (arrived.fencingToken < machine.fencingToken && mistake !== 'obeys-old-tokens') return;
  machine.fencingToken = Math.max(machine.fencingToken, arrived.fencingToken);
  const { member, generation } = arrived;
  if (arrived.verb === 'start') machine.task ??= { member, generation };
  else if (isSame(machine.task, arrived)) machine.task = null;
}

/** A heartbeat of an up machine reaches the leader, and its answer the machine. */
export function addHeartbeat(list: ReplicaEventList, at: number): void {
  const { state, mistake } = list;
  const machine = state.machines[at];
  const { condition, fencingToken, task } = machine;
  if (condition !== 'up' || fencingToken > state.leader.term) return;
  const place = state.leader.places[at];
  const isNews = place ? !isSame(task, place) || !place.seenRunning : task !== null;
  if (!isNews && fencingToken === state.leader.term) return;
  list.add(`${at} reports`, false, (draft) => {
    const machine = draft.machines[at];
    machine.fencingToken = state.leader.term;
    const place = draft.leader.places[at];
    if (place === null) {
      // Nothing should run there; the answer ends it.
      machine.task = null;
    } else if (isSame(machine.task, place)) {
      if (!place.seenRunning) {
        place.seenRunning = true;
        const { member, generation } = place;
        applyEvent(draft.leader, { kind: 'running', member, generation }, mistake);
      }
    } else {
      if (machine.task !== null) machine.task = null;
      recordAbsence(draft.leader, machine, at, mistake);
    }
  });
}

/** A heartbeat does not list the place's task. */
function recordAbsence(
  leader: Draft<ModelLeader>,
  machine: ModelMachine,
  at: number,
  mistake: ReplicaMistake,
): void {
  const place = placeAt(leader, at);
  const mayStillStart = machine.commands.some(
    (each) =>
      each.verb === 'start' && isSame(each, place) && each.fencingToken >= machine.fencingToken,
  );
  if (mayStillStart || !(place.sent || place.inherited)) return;
  if (place.seenRunning || place.inherited || place.stopping) endPlace(leader, at, mistake);
  else place.sent = false;
}

function endPlace(leader: Draft<ModelLeader>, at: number, mistake: ReplicaMistake): void {
  const { member, generation } = placeAt(leader, at);
  leader.places[at] = null;
  applyEvent(leader, { kind: 'gone', member, generation }, mistake);
}

/** Failures of a machine, and what its leader concludes from silence. */
export function addMachineEvents(list: ReplicaEventList, at: number): void {
  const { state, mistake } = list;
  const { condition } = state.machines[at];
  if (condition === 'up' && state.budget.failures > 0) {
    for (const next of ['dead', 'cut'] as const) {
      list.add(`${at} is ${next}`, true, (draft) => {
        draft.budget.failures--;
        draft.machines[at].condition = next;
        if (next === 'dead') endAgentEpoch(draft.machines[at]);
      });
    }
  }
  if (condition === 'cut') {
    list.add(`${at} is reached again`, false, (draft) => {
      draft.machines[at].condition = 'up';
    });
    list.add(`lease of ${at} ends`, false, (draft) => {
      endAgentEpoch(draft.machines[at]);
      draft.machines[at].condition = 'dead';
    });
  }
  const isSilent = condition === 'dead' || (condition === 'cut' && mistake === 'trusts-silence');
  if (isSilent && state.leader.places[at] !== null) {
    list.add(`owner gives up what ${at} held`, false, (draft) => {
      endPlace(draft.leader, at, mistake);
      // By then a former leader answers no heartbeat any more, and its commands name an older agent epoch (points 5 and 7).
      if (draft.former) draft.former.places[at] = null;
    });
  }
  if (condition === 'dead' && state.leader.places[at] === null) {
    list.add(`${at} is replaced`, false, (draft) => {
      draft.machines[at].condition = 'up';
    });
  }
}

/** Everything on the machine is gone, and commands to its agent epoch have no effect any more. */
function endAgentEpoch(machine: Draft<ModelMachine>): void {
  machine.task = null;
  machine.commands = [];
}

function isSame(one: Member | null, other: Member): boolean {
  return one !== null && one.member === other.member && one.generation === other.generation;
}
