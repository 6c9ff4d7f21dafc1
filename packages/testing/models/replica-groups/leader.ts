/** What a leader of the model does, by the production code's state machine. */
import type { Draft } from 'immer';
import { type GroupEvent, type GroupState, mayBePlaced, mayStart, step } from '#replicas';
import type { ReplicaMistake } from './mistakes.js';
import {
  MEMBERS,
  type ModelLeader,
  newLeader,
  placeAt,
  type LeaderPlace,
  type ReplicaModelState,
} from './state.js';

/** Generations of one term are below those of the next. */
const GENERATIONS_PER_TERM = 100;

/** Applies an event; what is to be stopped is marked so, or gone at once if its start was never sent. */
export function applyEvent(
  leader: Draft<ModelLeader>,
  event: GroupEvent,
  seededFault: ReplicaMistake,
): void {
  const { state, stop } = step(leader.group, event);
  if (seededFault === 'keeps-the-rest' && event.kind === 'gone') {
    leader.group = { ...state, ending: false, places: state.places.map(withoutEnding) };
    return;
  }
  leader.group = state as Draft<GroupState>;
  for (const { member, generation } of stop) {
    const at = leader.places.findIndex(
      (place) => place?.member === member && place.generation === generation,
    );
    const place = placeAt(leader, at);
    place.stopping = true;
    if (place.sent || place.inherited) continue;
    leader.places[at] = null;
    applyEvent(leader, { kind: 'gone', member, generation }, seededFault);
  }
}

function withoutEnding<P extends { ending: boolean }>(place: P): P {
  return { ...place, ending: false };
}

/** Machines that get the members of a new generation; null if it may not begin, or there are too few. */
export function chooseMachines(
  { group, places }: ModelLeader,
  isUsable: (machine: number) => boolean,
  seededFault: ReplicaMistake,
): number[] | null {
  const isEarly = seededFault === 'places-before-gone' && group.ending;
  if (!mayBePlaced(group) && !isEarly) return null;
  const usable = places.map((_, at) => at).filter(isUsable);
  const free = usable.filter((at) => places[at] === null);
  const taken = usable.filter((at) => places[at] !== null);
  const chosen = isEarly ? [...free, ...taken] : free;
  return chosen.length >= MEMBERS ? chosen.slice(0, MEMBERS) : null;
}

/** Gives the members of a new generation places. */
export function placeGeneration(
  leader: Draft<ModelLeader>,
  machines: number[],
  seededFault: ReplicaMistake,
): void {
  const generation = leader.term * GENERATIONS_PER_TERM + leader.generationsStarted++;
  if (seededFault === 'places-before-gone') {
    // What is left of the old generation is forgotten by the state machine, and keeps running.
    leader.group = { ...leader.group, places: [], ending: false };
    leader.places = leader.places.map(() => null);
  }
  machines.forEach((at, member) => {
    leader.places[at] = {
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

/** Whether the leader would send the start of the place now. */
export function shouldSendStart(
  { group }: ModelLeader,
  place: LeaderPlace,
  seededFault: ReplicaMistake,
): boolean {
  if (place.sent || place.inherited || place.stopping) return false;
  if (seededFault === 'starts-unrecorded') return place.generation === group.generation;
  return mayStart(group, place.generation);
}

/** The next leader, which knows what the records hold and nothing else. */
export function leaderFromRecords(
  { leader, machines }: ReplicaModelState,
  seededFault: ReplicaMistake,
): Draft<ModelLeader> {
  const next = newLeader(leader.term + 1) as Draft<ModelLeader>;
  machines.forEach(({ record }, at) => {
    if (record === null) return;
    next.places[at] = {
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
