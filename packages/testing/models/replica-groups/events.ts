/** Everything that can happen next in a state of the model. */
import type { Draft } from 'immer';
import type { ModelEvent } from '../exploration/explore.js';
import { EventList } from '../exploration/event-list.js';
import type { ReplicaEventList } from './events-of-state.js';
import { addArrival, addMachineEvents, addHeartbeat } from './machine-events.js';
import type { ReplicaMistake } from './mistakes.js';
import {
  beginGeneration,
  machinesForNext,
  leaderFromRecords,
  sendsStart,
  applyEvent,
} from './leader.js';
import { addRequestSteps } from './requests.js';
import {
  areRecordsRead,
  placeAt,
  type Command,
  type ModelMachine,
  type ModelLeader,
  type LeaderPlace,
  type ReplicaModelState,
} from './state.js';

/** The events that can happen in the state. */
export function eventsIn(
  state: ReplicaModelState,
  mistake: ReplicaMistake,
): ModelEvent<ReplicaModelState>[] {
  const list: ReplicaEventList = new EventList(state, mistake);
  addPlacement(list);
  addLeaderChange(list);
  for (const role of ['leader', 'former'] as const) addSends(list, role);
  if (!areRecordsRead(state)) addRecordsAtOnce(list);
  state.machines.forEach((machine, at) => {
    if (areRecordsRead(state)) addRecords(list, at);
    machine.commands.forEach((_, index) => {
      addArrival(list, at, index);
    });
    addHeartbeat(list, at);
    addMachineEvents(list, at);
  });
  addRequestSteps(list);
  return list.events;
}

function addPlacement(list: ReplicaEventList): void {
  const { state, mistake } = list;
  const isUsable = (at: number) => state.machines[at].condition !== 'dead';
  const machines = machinesForNext(state.leader, isUsable, mistake);
  if (machines === null) return;
  list.add('generation placed', false, (draft) => {
    beginGeneration(draft.leader, machines, mistake);
  });
}

/** The leader ends, or goes on without knowing that another has taken its place. */
function addLeaderChange(list: ReplicaEventList): void {
  const { state, mistake } = list;
  if (state.former !== null) list.add('former owner ends', false, (draft) => (draft.former = null));
  if (state.budget.leaderChanges === 0) return;
  for (const ends of [true, false]) {
    list.add(ends ? 'owner ends' : 'owner is deposed', true, (draft) => {
      draft.budget.leaderChanges--;
      draft.former = ends ? null : draft.leader;
      draft.leader = leaderFromRecords(state, mistake);
    });
  }
}

/** A leader sends what it would send now; that may arrive at any later time. */
function addSends(list: ReplicaEventList, role: 'leader' | 'former'): void {
  const { state, mistake } = list;
  const leader = state[role];
  if (!leader) return;
  const starts = leader.places.flatMap((place, at) =>
    place && sendsStart(leader, place, mistake) ? [at] : [],
  );
  if (starts.length > 0) {
    list.add(`${role} sends starts`, false, (draft) => {
      for (const at of starts) {
        placeAt(draft[role], at).sent = true;
        send(draft.machines[at], command('start', placeAt(leader, at), leader.term));
      }
    });
  }
  const stops = leader.places.flatMap((place, at) =>
    place?.stopping && !isStopOnItsWay(state, place, at) ? [at] : [],
  );
  if (stops.length === 0) return;
  list.add(`${role} sends stops`, false, (draft) => {
    for (const at of stops) {
      send(draft.machines[at], command('stop', placeAt(leader, at), leader.term));
    }
  });
}

function isStopOnItsWay({ machines }: ReplicaModelState, place: LeaderPlace, at: number): boolean {
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

function command(verb: Command['verb'], place: LeaderPlace, fencingToken: number): Command {
  return { verb, member: place.member, generation: place.generation, fencingToken };
}

/** Nobody will read the records: all that matters is when the leader knows that they are durable. */
function addRecordsAtOnce(list: ReplicaEventList): void {
  const { state, mistake } = list;
  for (const role of ['leader', 'former'] as const) {
    const open = state[role]?.places.flatMap((place, at) => (place && !place.recorded ? [at] : []));
    const mayWrite = role === 'leader' || mistake === 'records-without-term';
    const learns = (at: number) => mayWrite || placeAt(state[role], at).durable;
    const learnt = open?.filter(learns) ?? [];
    if (learnt.length === 0) continue;
    list.add(`${role} records all`, false, (draft) => {
      for (const at of learnt) {
        placeAt(draft[role], at).durable = true;
        const leader = draft[role];
        if (leader) learnRecorded(leader, at, mistake);
      }
    });
  }
}

/** Records become durable one by one, and their leader learns it later. */
function addRecords(list: ReplicaEventList, at: number): void {
  const { state, mistake } = list;
  const place = state.leader.places[at];
  if (place !== null && !place.durable) {
    list.add(`owner records ${at}`, false, (draft) => {
      draft.machines[at].record = { member: place.member, generation: place.generation };
      placeAt(draft.leader, at).durable = true;
    });
  }
  if (place?.durable && !place.recorded) {
    list.add(`owner learns that ${at} is recorded`, false, (draft) => {
      learnRecorded(draft.leader, at, mistake);
    });
  }
  if (place === null && state.machines[at].record !== null) {
    list.add(`record of ${at} tidied`, false, (draft) => (draft.machines[at].record = null));
  }
}

function learnRecorded(leader: Draft<ModelLeader>, at: number, mistake: ReplicaMistake): void {
  const place = placeAt(leader, at);
  place.recorded = true;
  const { member, generation } = place;
  applyEvent(leader, { kind: 'recorded', member, generation }, mistake);
}
