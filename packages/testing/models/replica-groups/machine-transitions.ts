/** Transitions of a machine, and messages between a machine and the leader. */
import type { Draft } from 'immer';
import type { ReplicaTransitionList } from './replica-transition-list.js';
import type { SeededReplicaFault } from './seeded-faults.js';
import { applyEvent } from './leader.js';
import {
  type Command,
  type Member,
  type ModelMachine,
  type ModelLeader,
  placeAt,
} from './state.js';

/** A command in flight arrives at its machine, or is lost. */
export function addCommandArrival(
  list: ReplicaTransitionList,
  machineIndex: number,
  index: number,
): void {
  const { state, seededFault } = list;
  const machine = state.machines[machineIndex];
  if (machine.condition === 'up') {
    list.add(`command arrives at ${machineIndex}`, false, (draft) => {
      const [arrived] = draft.machines[machineIndex].commands.splice(index, 1);
      executeCommand(draft.machines[machineIndex], arrived, seededFault);
    });
  }
  if (state.budget.lostCommands === 0) return;
  list.add(`command to ${machineIndex} is lost`, true, (draft) => {
    draft.budget.lostCommands--;
    draft.machines[machineIndex].commands.splice(index, 1);
  });
}

function executeCommand(
  machine: Draft<ModelMachine>,
  arrived: Command,
  seededFault: SeededReplicaFault,
): void {
  if (arrived.fencingToken < machine.fencingToken && seededFault !== 'obeys-old-tokens') return;
  machine.fencingToken = Math.max(machine.fencingToken, arrived.fencingToken);
  const { member, generation } = arrived;
  if (arrived.verb === 'start') machine.task ??= { member, generation };
  else if (isSameMember(machine.task, arrived)) machine.task = null;
}

/** A heartbeat of a connected machine reaches the leader, and the answer reaches the machine. */
export function addHeartbeat(list: ReplicaTransitionList, machineIndex: number): void {
  const { state, seededFault } = list;
  const machine = state.machines[machineIndex];
  const { condition, fencingToken, task } = machine;
  if (condition !== 'up' || fencingToken > state.leader.term) return;
  const place = state.leader.places[machineIndex];
  const isChanged = place ? !isSameMember(task, place) || !place.seenRunning : task !== null;
  if (!isChanged && fencingToken === state.leader.term) return;
  list.add(`heartbeat of ${machineIndex}`, false, (draft) => {
    const machine = draft.machines[machineIndex];
    machine.fencingToken = state.leader.term;
    const place = draft.leader.places[machineIndex];
    if (place === null) {
      // No task belongs on this machine: the answer to the heartbeat ends its task.
      machine.task = null;
    } else if (isSameMember(machine.task, place)) {
      if (!place.seenRunning) {
        place.seenRunning = true;
        const { member, generation } = place;
        applyEvent(draft.leader, { kind: 'running', member, generation }, seededFault);
      }
    } else {
      if (machine.task !== null) machine.task = null;
      handleMissingTask(draft.leader, machine, machineIndex, seededFault);
    }
  });
}

/** Handles a heartbeat that does not list the task placed on its machine. */
function handleMissingTask(
  leader: Draft<ModelLeader>,
  machine: ModelMachine,
  machineIndex: number,
  seededFault: SeededReplicaFault,
): void {
  const place = placeAt(leader, machineIndex);
  const mayStillStart = machine.commands.some(
    (each) =>
      each.verb === 'start' &&
      isSameMember(each, place) &&
      each.fencingToken >= machine.fencingToken,
  );
  if (mayStillStart || !(place.sent || place.inherited)) return;
  if (place.seenRunning || place.inherited || place.stopping)
    endPlace(leader, machineIndex, seededFault);
  else place.sent = false;
}

function endPlace(
  leader: Draft<ModelLeader>,
  machineIndex: number,
  seededFault: SeededReplicaFault,
): void {
  const { member, generation } = placeAt(leader, machineIndex);
  leader.places[machineIndex] = null;
  applyEvent(leader, { kind: 'gone', member, generation }, seededFault);
}

/** Failures and recovery of a machine, and what the leader concludes from its silence. */
export function addMachineTransitions(list: ReplicaTransitionList, machineIndex: number): void {
  const { state, seededFault } = list;
  const { condition } = state.machines[machineIndex];
  if (condition === 'up' && state.budget.failures > 0) {
    for (const next of ['dead', 'partitioned'] as const) {
      list.add(`${machineIndex} is ${next}`, true, (draft) => {
        draft.budget.failures--;
        draft.machines[machineIndex].condition = next;
        if (next === 'dead') endAgentEpoch(draft.machines[machineIndex]);
      });
    }
  }
  if (condition === 'partitioned') {
    list.add(`${machineIndex} is connected again`, false, (draft) => {
      draft.machines[machineIndex].condition = 'up';
    });
    list.add(`lease of ${machineIndex} expires`, false, (draft) => {
      endAgentEpoch(draft.machines[machineIndex]);
      draft.machines[machineIndex].condition = 'dead';
    });
  }
  const isSilent =
    condition === 'dead' || (condition === 'partitioned' && seededFault === 'trusts-silence');
  if (isSilent && state.leader.places[machineIndex] !== null) {
    list.add(`leader gives up the task of ${machineIndex}`, false, (draft) => {
      endPlace(draft.leader, machineIndex, seededFault);
      // By then a former leader answers no heartbeat any more, and its commands name an older agent epoch (points 5
      // and 7 of docs/safety.md).
      if (draft.former) draft.former.places[machineIndex] = null;
    });
  }
  if (condition === 'dead' && state.leader.places[machineIndex] === null) {
    list.add(`${machineIndex} is replaced`, false, (draft) => {
      draft.machines[machineIndex].condition = 'up';
    });
  }
}

/** Ends the task on the machine. Commands in flight name the ended agent epoch and have no effect any more. */
function endAgentEpoch(machine: Draft<ModelMachine>): void {
  machine.task = null;
  machine.commands = [];
}

function isSameMember(first: Member | null, second: Member): boolean {
  return first !== null && first.member === second.member && first.generation === second.generation;
}
