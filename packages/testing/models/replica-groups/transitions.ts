/** The transition relation of the replica group model. */
import type { Draft } from 'immer';
import type { Transition } from '../exploration/explore.js';
import { TransitionList } from '../exploration/transition-list.js';
import type { ReplicaTransitionList } from './replica-transition-list.js';
import { addCommandArrival, addMachineTransitions, addHeartbeat } from './machine-transitions.js';
import type { SeededReplicaFault } from './seeded-faults.js';
import {
  placeGeneration,
  chooseMachines,
  leaderFromRecords,
  shouldSendStart,
  applyEvent,
} from './leader.js';
import { addRequestTransitions } from './requests.js';
import {
  mayRecordsBeRead,
  placeAt,
  type Command,
  type ModelMachine,
  type ModelLeader,
  type LeaderPlace,
  type ReplicaModelState,
} from './state.js';

/** Returns the transitions out of the state. */
export function transitionsFrom(
  state: ReplicaModelState,
  seededFault: SeededReplicaFault,
): Transition<ReplicaModelState>[] {
  const list: ReplicaTransitionList = new TransitionList(state, seededFault);
  addPlacement(list);
  addLeaderChange(list);
  for (const role of ['leader', 'former'] as const) addCommandSends(list, role);
  if (!mayRecordsBeRead(state)) addBatchRecording(list);
  state.machines.forEach((machine, machineIndex) => {
    if (mayRecordsBeRead(state)) addRecording(list, machineIndex);
    machine.commands.forEach((_, index) => {
      addCommandArrival(list, machineIndex, index);
    });
    addHeartbeat(list, machineIndex);
    addMachineTransitions(list, machineIndex);
  });
  addRequestTransitions(list);
  return list.transitions;
}

function addPlacement(list: ReplicaTransitionList): void {
  const { state, seededFault } = list;
  const isUsable = (machineIndex: number) => state.machines[machineIndex].condition !== 'dead';
  const machines = chooseMachines(state.leader, isUsable, seededFault);
  if (machines === null) return;
  list.add('generation placed', false, (draft) => {
    placeGeneration(draft.leader, machines, seededFault);
  });
}

/** The leader ends, or is deposed and goes on without knowing of the new leader. */
function addLeaderChange(list: ReplicaTransitionList): void {
  const { state, seededFault } = list;
  if (state.former !== null)
    list.add('former leader ends', false, (draft) => (draft.former = null));
  if (state.budget.leaderChanges === 0) return;
  for (const isCrash of [true, false]) {
    list.add(isCrash ? 'leader ends' : 'leader is deposed', true, (draft) => {
      draft.budget.leaderChanges--;
      draft.former = isCrash ? null : draft.leader;
      draft.leader = leaderFromRecords(state, seededFault);
    });
  }
}

/** A leader sends the starts and stops that are due; each may arrive at any later time. */
function addCommandSends(list: ReplicaTransitionList, role: 'leader' | 'former'): void {
  const { state, seededFault } = list;
  const leader = state[role];
  if (!leader) return;
  const starts = leader.places.flatMap((place, machineIndex) =>
    place && shouldSendStart(leader, place, seededFault) ? [machineIndex] : [],
  );
  if (starts.length > 0) {
    list.add(`${role} sends starts`, false, (draft) => {
      for (const machineIndex of starts) {
        placeAt(draft[role], machineIndex).sent = true;
        send(
          draft.machines[machineIndex],
          newCommand('start', placeAt(leader, machineIndex), leader.term),
        );
      }
    });
  }
  const stops = leader.places.flatMap((place, machineIndex) =>
    place?.stopping && !isStopInFlight(state, place, machineIndex) ? [machineIndex] : [],
  );
  if (stops.length === 0) return;
  list.add(`${role} sends stops`, false, (draft) => {
    for (const machineIndex of stops) {
      send(
        draft.machines[machineIndex],
        newCommand('stop', placeAt(leader, machineIndex), leader.term),
      );
    }
  });
}

function isStopInFlight(
  { machines }: ReplicaModelState,
  place: LeaderPlace,
  machineIndex: number,
): boolean {
  const { condition, commands } = machines[machineIndex];
  const isSent = commands.some(
    (each) => each.verb === 'stop' && each.generation === place.generation,
  );
  return isSent || condition === 'dead';
}

/** Puts a command in flight. Commands to a dead machine are dropped. */
function send(machine: Draft<ModelMachine>, sent: Command): void {
  if (machine.condition !== 'dead') machine.commands.push(sent);
}

function newCommand(verb: Command['verb'], place: LeaderPlace, fencingToken: number): Command {
  return { verb, member: place.member, generation: place.generation, fencingToken };
}

/**
 * Records all unrecorded places in one transition. Used when no new leader will read the records: then only the time
 * matters at which the leader learns that they are durable.
 */
function addBatchRecording(list: ReplicaTransitionList): void {
  const { state, seededFault } = list;
  for (const role of ['leader', 'former'] as const) {
    const unrecorded = state[role]?.places.flatMap((place, machineIndex) =>
      place && !place.recorded ? [machineIndex] : [],
    );
    const mayWrite = role === 'leader' || seededFault === 'records-without-term';
    const canConfirm = (machineIndex: number) =>
      mayWrite || placeAt(state[role], machineIndex).durable;
    const confirmed = unrecorded?.filter(canConfirm) ?? [];
    if (confirmed.length === 0) continue;
    list.add(`${role} records all`, false, (draft) => {
      for (const machineIndex of confirmed) {
        placeAt(draft[role], machineIndex).durable = true;
        const leader = draft[role];
        if (leader) confirmRecorded(leader, machineIndex, seededFault);
      }
    });
  }
}

/** Records become durable one by one, and the leader learns of each at a later time. */
function addRecording(list: ReplicaTransitionList, machineIndex: number): void {
  const { state, seededFault } = list;
  const place = state.leader.places[machineIndex];
  if (place !== null && !place.durable) {
    list.add(`leader records ${machineIndex}`, false, (draft) => {
      draft.machines[machineIndex].record = { member: place.member, generation: place.generation };
      placeAt(draft.leader, machineIndex).durable = true;
    });
  }
  if (place?.durable && !place.recorded) {
    list.add(`leader learns that ${machineIndex} is recorded`, false, (draft) => {
      confirmRecorded(draft.leader, machineIndex, seededFault);
    });
  }
  if (place === null && state.machines[machineIndex].record !== null) {
    list.add(
      `record of ${machineIndex} deleted`,
      false,
      (draft) => (draft.machines[machineIndex].record = null),
    );
  }
}

function confirmRecorded(
  leader: Draft<ModelLeader>,
  machineIndex: number,
  seededFault: SeededReplicaFault,
): void {
  const place = placeAt(leader, machineIndex);
  place.recorded = true;
  const { member, generation } = place;
  applyEvent(leader, { kind: 'recorded', member, generation }, seededFault);
}
