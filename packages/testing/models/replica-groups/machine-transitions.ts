/** What happens at a machine and between it and its leader. */
import type { Draft } from 'immer';
import type { ReplicaTransitionList } from './replica-transition-list.js';
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
export function addCommandArrival(list: ReplicaTransitionList, at: number, index: number): void {
  const { state, seededFault } = list;
  const machine = state.machines[at];
  if (machine.condition === 'up') {
    list.add(`command arrives at ${at}`, false, (draft) => {
      const [arrived] = draft.machines[at].commands.splice(index, 1);
      executeCommand(draft.machines[at], arrived, seededFault);
    });
  }
  if (state.budget.lostCommands === 0) return;
  list.add(`command to ${at} is lost`, true, (draft) => {
    draft.budget.lostCommands--;
    draft.machines[at].commands.splice(index, 1);
  });
}

function executeCommand(
  machine: Draft<ModelMachine>,
  arrived: Command,
  seededFault: ReplicaMistake,
): void {
  if (arrived.fencingToken < machine.fencingToken && seededFault !== 'obeys-old-tokens') return;
  machine.fencingToken = Math.max(machine.fencingToken, arrived.fencingToken);
  const { member, generation } = arrived;
  if (arrived.verb === 'start') machine.task ??= { member, generation };
  else if (isSameMember(machine.task, arrived)) machine.task = null;
}

/** A heartbeat of an up machine reaches the leader, and its answer the machine. */
export function addHeartbeat(list: ReplicaTransitionList, at: number): void {
  const { state, seededFault } = list;
  const machine = state.machines[at];
  const { condition, fencingToken, task } = machine;
  if (condition !== 'up' || fencingToken > state.leader.term) return;
  const place = state.leader.places[at];
  const isChanged = place ? !isSameMember(task, place) || !place.seenRunning : task !== null;
  if (!isChanged && fencingToken === state.leader.term) return;
  list.add(`${at} reports`, false, (draft) => {
    const machine = draft.machines[at];
    machine.fencingToken = state.leader.term;
    const place = draft.leader.places[at];
    if (place === null) {
      // Nothing should run there; the answer ends it.
      machine.task = null;
    } else if (isSameMember(machine.task, place)) {
      if (!place.seenRunning) {
        place.seenRunning = true;
        const { member, generation } = place;
        applyEvent(draft.leader, { kind: 'running', member, generation }, seededFault);
      }
    } else {
      if (machine.task !== null) machine.task = null;
      handleMissingTask(draft.leader, machine, at, seededFault);
    }
  });
}

/** A heartbeat does not list the place's task. */
function handleMissingTask(
  leader: Draft<ModelLeader>,
  machine: ModelMachine,
  at: number,
  seededFault: ReplicaMistake,
): void {
  const place = placeAt(leader, at);
  const mayStillStart = machine.commands.some(
    (each) =>
      each.verb === 'start' &&
      isSameMember(each, place) &&
      each.fencingToken >= machine.fencingToken,
  );
  if (mayStillStart || !(place.sent || place.inherited)) return;
  if (place.seenRunning || place.inherited || place.stopping) endPlace(leader, at, seededFault);
  else place.sent = false;
}

function endPlace(leader: Draft<ModelLeader>, at: number, seededFault: ReplicaMistake): void {
  const { member, generation } = placeAt(leader, at);
  leader.places[at] = null;
  applyEvent(leader, { kind: 'gone', member, generation }, seededFault);
}

/** Failures of a machine, and what its leader concludes from silence. */
export function addMachineTransitions(list: ReplicaTransitionList, at: number): void {
  const { state, seededFault } = list;
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
  const isSilent =
    condition === 'dead' || (condition === 'cut' && seededFault === 'trusts-silence');
  if (isSilent && state.leader.places[at] !== null) {
    list.add(`owner gives up what ${at} held`, false, (draft) => {
      endPlace(draft.leader, at, seededFault);
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

function isSameMember(first: Member | null, second: Member): boolean {
  return first !== null && first.member === second.member && first.generation === second.generation;
}
