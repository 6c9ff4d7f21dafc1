/** The actions of a leader of the model, decided by the production code's state machine. */
import type { Draft } from 'immer';
import { type GroupEvent, type GroupState, mayBePlaced, mayStart, step } from '#replicas';
import type { SeededReplicaFault } from './seeded-faults.js';
import {
  MEMBERS,
  type ModelLeader,
  newLeader,
  placeAt,
  type LeaderPlace,
  type ReplicaModelState,
} from './state.js';

/** Makes the generations of a term lower than those of the next term. */
const GENERATIONS_PER_TERM = 100;

/** Applies an event. Marks the members that are to be stopped; those whose start was never sent are gone at once. */
export function applyEvent(
  leader: Draft<ModelLeader>,
  event: GroupEvent,
  seededFault: SeededReplicaFault,
): void {
  const { state, stop } = step(leader.group, event);
  if (seededFault === 'keeps-incomplete-generation' && event.kind === 'gone') {
    leader.group = { ...state, ending: false, places: state.places.map(withoutEnding) };
    return;
  }
  leader.group = state as Draft<GroupState>;
  for (const { member, generation } of stop) {
    const machineIndex = leader.places.findIndex(
      (place) => place?.member === member && place.generation === generation,
    );
    const place = placeAt(leader, machineIndex);
    place.stopping = true;
    if (place.sent || place.inherited) continue;
    leader.places[machineIndex] = null;
    applyEvent(leader, { kind: 'gone', member, generation }, seededFault);
  }
}

function withoutEnding<P extends { ending: boolean }>(place: P): P {
  return { ...place, ending: false };
}

/** Chooses the machines for a new generation; null if none may begin yet, or if too few machines are free. */
export function chooseMachines(
  { group, places }: ModelLeader,
  isUsable: (machine: number) => boolean,
  seededFault: SeededReplicaFault,
): number[] | null {
  const isEarly = seededFault === 'places-before-gone' && group.ending;
  if (!mayBePlaced(group) && !isEarly) return null;
  const usable = places.map((_, machineIndex) => machineIndex).filter(isUsable);
  const free = usable.filter((machineIndex) => places[machineIndex] === null);
  const taken = usable.filter((machineIndex) => places[machineIndex] !== null);
  const chosen = isEarly ? [...free, ...taken] : free;
  return chosen.length >= MEMBERS ? chosen.slice(0, MEMBERS) : null;
}

/** Places the members of a new generation on the machines. */
export function placeGeneration(
  leader: Draft<ModelLeader>,
  machines: number[],
  seededFault: SeededReplicaFault,
): void {
  const generation = leader.term * GENERATIONS_PER_TERM + leader.generationsStarted++;
  if (seededFault === 'places-before-gone') {
    // The state machine forgets the rest of the old generation, which goes on running.
    leader.group = { ...leader.group, places: [], ending: false };
    leader.places = leader.places.map(() => null);
  }
  machines.forEach((machineIndex, member) => {
    leader.places[machineIndex] = {
      member,
      generation,
      durable: false,
      recorded: false,
      inherited: false,
      sent: false,
      seenRunning: false,
      stopping: false,
    };
    applyEvent(leader, { kind: 'placed', member, generation }, seededFault);
  });
}

/** Whether the leader may send the start of the placed member now. */
export function shouldSendStart(
  { group }: ModelLeader,
  place: LeaderPlace,
  seededFault: SeededReplicaFault,
): boolean {
  if (place.sent || place.inherited || place.stopping) return false;
  if (seededFault === 'starts-unrecorded') return place.generation === group.generation;
  return mayStart(group, place.generation);
}

/** Returns the next leader, whose state is built from the records alone. */
export function leaderFromRecords(
  { leader, machines }: ReplicaModelState,
  seededFault: SeededReplicaFault,
): Draft<ModelLeader> {
  const next = newLeader(leader.term + 1) as Draft<ModelLeader>;
  machines.forEach(({ record }, machineIndex) => {
    if (record === null) return;
    next.places[machineIndex] = {
      ...record,
      durable: true,
      recorded: true,
      inherited: true,
      sent: false,
      seenRunning: false,
      stopping: false,
    };
    applyEvent(next, { kind: 'inherited', ...record }, seededFault);
  });
  if (seededFault !== 'adopts-incomplete') applyEvent(next, { kind: 'loaded' }, seededFault);
  return next;
}
