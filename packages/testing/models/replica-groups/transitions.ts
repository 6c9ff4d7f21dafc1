/** Everything that can happen next in a state of the model. */
import type { Draft } from 'immer';
import type { Transition } from '../exploration/explore.js';
import { TransitionList } from '../exploration/transition-list.js';
import type { ReplicaTransitionList } from './replica-transition-list.js';
import { addCommandArrival, addMachineTransitions, addHeartbeat } from './machine-transitions.js';
import type { ReplicaMistake } from './mistakes.js';
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

/** The events that can happen in the state. */
export function transitionsFrom(
  state: ReplicaModelState,
  seededFault: ReplicaMistake,
): Transition<ReplicaModelState>[] {
  const list: ReplicaTransitionList = new TransitionList(state, seededFault);
  addPlacement(list);
  addLeaderChange(list);
  for (const role of ['leader', 'former'] as const) addCommandSends(list, role);
  if (!mayRecordsBeRead(state)) addBatchRecording(list);
  state.machines.forEach((machine, at) => {
    if (mayRecordsBeRead(state)) addRecording(list, at);
    machine.commands.forEach((_, index) => {
      addCommandArrival(list, at, index);
    });
    addHeartbeat(list, at);
    addMachineTransitions(list, at);
  });
  addRequestTransitions(list);
  return list.transitions;
}

function addPlacement(list: ReplicaTransitionList): void {
  const { state, seededFault } = list;
  const isUsable = (at: number) => state.machines[at].condition !== 'dead';
  const machines = chooseMachines(state.leader, isUsable, seededFault);
  if (machines === null) return;
  list.add('generation placed', false, (draft) => {
    placeGeneration(draft.leader, machines, seededFault);
  });
}

/** The leader ends, or goes on without knowing that another has taken its place. */
function addLeaderChange(list: ReplicaTransitionList): void {
  const { state, seededFault } = list;
  if (state.former !== null) list.add('former owner ends', false, (draft) => (draft.former = null));
  if (state.budget.leaderChanges === 0) return;
  for (const isCrash of [true, false]) {
    list.add(isCrash ? 'owner ends' : 'owner is deposed', true, (draft) => {
      draft.budget.leaderChanges--;
      draft.former = isCrash ? null : draft.leader;
      draft.leader = leaderFromRecords(state, seededFault);
    });
  }
}

/** A leader sends what it would send now; that may arrive at any later time. */
function addCommandSends(list: ReplicaTransitionList, role: 'leader' | 'former'): void {
  const { state, seededFault } = list;
  const leader = state[role];
  if (!leader) return;
  const starts = leader.places.flatMap((place, at) =>
    place && shouldSendStart(leader, place, seededFault) ? [at] : [],
  );
  if (starts.length > 0) {
    list.add(`${role} sends starts`, false, (draft) => {
      for (const at of starts) {
        placeAt(draft[role], at).sent = true;
        send(draft.machines[at], newCommand('start', placeAt(leader, at), leader.term));
      }
    });
  }
  const stops = leader.places.flatMap((place, at) =>
    place?.stopping && !isStopInFlight(state, place, at) ? [at] : [],
  );
  if (stops.length === 0) return;
  list.add(`${role} sends stops`, false, (draft) => {
    for (const at of stops) {
      send(draft.machines[at], newCommand('stop', placeAt(leader, at), leader.term));
    }
  });
}

function isStopInFlight({ machines }: ReplicaModelState, place: LeaderPlace, at: number): boolean {
  const { condition, commands } = machines[at];
  const isSent = commands.some(
    (each) => each.verb === 'stop' && each.generation === place.generation,
  );
  return isSent || condition === 'dead';
}

/** What is sent to a machine that is gone reaches nobody. */
function send(machine: Draft<ModelMachine>, sent: Command): void {
  if (machine.condition !== 'dead') machine.commands.push(sent);
}

function newCommand(verb: Command['verb'], place: LeaderPlace, fencingToken: number): Command {
  return { verb, member: place.member, generation: place.generation, fencingToken };
}

/** Nobody will read the records: all that matters is when the leader knows that they are durable. */
function addBatchRecording(list: ReplicaTransitionList): void {
  const { state, seededFault } = list;
  for (const role of ['leader', 'former'] as const) {
    const unrecorded = state[role]?.places.flatMap((place, at) =>
      place && !place.recorded ? [at] : [],
    );
    const mayWrite = role === 'leader' || seededFault === 'records-without-term';
    const canConfirm = (at: number) => mayWrite || placeAt(state[role], at).durable;
    const confirmed = unrecorded?.filter(canConfirm) ?? [];
    if (confirmed.length === 0) continue;
    list.add(`${role} records all`, false, (draft) => {
      for (const at of confirmed) {
        placeAt(draft[role], at).durable = true;
        const leader = draft[role];
        if (leader) confirmRecorded(leader, at, seededFault);
      }
    });
  }
}

/** Records become durable one by one, and their leader learns it later. */
function addRecording(list: ReplicaTransitionList, at: number): void {
  const { state, seededFault } = list;
  const place = state.leader.places[at];
  if (place !== null && !place.durable) {
    list.add(`owner records ${at}`, false, (draft) => {
      draft.machines[at].record = { member: place.member, generation: place.generation };
      placeAt(draft.leader, at).durable = true;
    });
  }
  if (place?.durable && !place.recorded) {
    list.add(`owner learns that ${at} is recorded`, false, (draft) => {
      confirmRecorded(draft.leader, at, seededFault);
    });
  }
  if (place === null && state.machines[at].record !== null) {
    list.add(`record of ${at} tidied`, false, (draft) => (draft.machines[at].record = null));
  }
}

function confirmRecorded(
  leader: Draft<ModelLeader>,
  at: number,
  seededFault: ReplicaMistake,
): void {
  const place = placeAt(leader, at);
  place.recorded = true;
  const { member, generation } = place;
  applyEvent(leader, { kind: 'recorded', member, generation }, seededFault);
}
