/**
 * The state machine of one replica group: the members of one replica, which start, serve and end together. Its functions
 * are pure and use neither a clock nor machines. A generation is the attempt number that all members of one start share.
 * Attempt numbers rise with the leader's term, so generations of different terms differ (docs/replica-groups.md).
 */

/** Phase of a group, as operators see it. */
export type GroupPhase =
  /** No member has a place. */
  | 'waiting'
  /** Members have places, but not every member has a durable one: no start was sent. */
  | 'reserved'
  /** Every member has a durable place; not all members run yet. */
  | 'starting'
  /** All members of one generation run. */
  | 'whole'
  /** A member was lost or is missing from the records; the rest of the generation ends. */
  | 'repairing'
  /** The cloud reclaims a member's machine; the generation ends so that the next can start on other machines. */
  | 'moving'
  /** The generation ends for another reason. */
  | 'stopping';

/** Why a generation ended or ends. */
export type EndReason =
  | 'member-lost'
  /** The records that a new leader loaded do not name every member. */
  | 'incomplete-records'
  /** Not all members ran by the start deadline. */
  | 'start-deadline'
  /** The cloud gave notice that it will reclaim a member's machine. */
  | 'notice'
  | 'preempted'
  /** A single member was told to stop. */
  | 'member-stopped';

/** Place of one member of one generation. It is kept until the member is proven gone. */
export interface MemberPlace {
  readonly member: number;
  readonly generation: number;
  readonly stage: 'reserved' | 'recorded' | 'running';
  /** A stop of the member was requested. */
  readonly ending: boolean;
}

/** Immutable state of a group. */
export interface GroupState {
  /** Number of members of the replica. */
  readonly members: number;
  /** The newest generation that was placed, or found in records or heartbeats; 0 if there was none. */
  readonly generation: number;
  readonly places: readonly MemberPlace[];
  /** Why the newest generation must end, or why the previous one ended; null once a generation is whole. */
  readonly reason: EndReason | null;
  /** The newest generation must end. */
  readonly ending: boolean;
}

/** A member of a generation. */
export interface MemberRef {
  member: number;
  generation: number;
}

/** An event that concerns a group. */
export type GroupEvent =
  | ({ kind: 'placed' } & MemberRef)
  /** The member's place was found in the records of an earlier term. */
  | ({ kind: 'inherited' } & MemberRef)
  /** A worker's heartbeat lists the member though no record names it. The member is being stopped already. */
  | ({ kind: 'unrecorded' } & MemberRef)
  /** All records of earlier terms have been read. */
  | { kind: 'loaded' }
  | ({ kind: 'recorded' } & MemberRef)
  | ({ kind: 'running' } & MemberRef)
  /** A stop of the member was requested. */
  | ({ kind: 'stopping' } & MemberRef)
  /** The member is proven gone. */
  | ({ kind: 'gone' } & MemberRef)
  /** The whole generation must end. */
  | { kind: 'end'; reason: EndReason };

/** Result of an event: the next state, and the stops that the caller must send. */
export interface GroupStep {
  state: GroupState;
  /** Members that the caller must stop now. The state marks them as ending already. */
  stop: MemberRef[];
}

/** A member was given a place that violates an invariant of generations. This is a bug in the program. */
class GenerationViolation extends Error {
  override readonly name = 'GenerationViolation';

  constructor(
    readonly member: MemberRef,
    reason: string,
  ) {
    super(`member ${member.member} of generation ${member.generation}: ${reason}`);
  }
}

/** Returns the state of a group without places. */
export function newGroup(members: number): GroupState {
  return { members, generation: 0, places: [], reason: null, ending: false };
}

/** Applies an event. Throws GenerationViolation for a place that must not be given. */
export function step(state: GroupState, event: GroupEvent): GroupStep {
  switch (event.kind) {
    case 'placed':
      return toStep(addPlace(state, event));
    case 'inherited':
      return toStep(addFoundPlace(state, { ...refOf(event), stage: 'recorded', ending: false }));
    case 'unrecorded':
      return toStep(addFoundPlace(state, { ...refOf(event), stage: 'recorded', ending: true }));
    case 'loaded':
      return adoptInherited(state);
    case 'recorded':
      return toStep(markRecorded(state, event));
    case 'running':
      return toStep(markRunning(state, event));
    case 'stopping':
      return endIfNewest(updatePlace(state, event, { ending: true }), event, 'member-stopped');
    case 'gone':
      return endIfNewest(removePlace(state, event), event, 'member-lost');
    case 'end':
      return endGeneration(state, event.reason);
  }
}

/** Whether starts of the generation may be sent: every member has a durable place, and no other place is left. */
export function mayStart(state: GroupState, generation: number): boolean {
  const isNewest = generation === state.generation && !state.ending;
  return isNewest && isComplete(state) && state.places.length === state.members;
}

/** Whether a new generation may get places: no member of an earlier generation has a place left. */
export function mayBePlaced({ places }: GroupState): boolean {
  return places.length === 0;
}

/** Returns the group's phase, as operators see it. */
export function phaseOf(state: GroupState): GroupPhase {
  const { places, ending, reason } = state;
  if (places.length === 0) return 'waiting';
  if (ending) return endingPhase(reason);
  if (!isComplete(state)) return 'reserved';
  return newestPlaces(state).every(({ stage }) => stage === 'running') ? 'whole' : 'starting';
}

function endingPhase(reason: EndReason | null): GroupPhase {
  if (reason === 'member-lost' || reason === 'incomplete-records') return 'repairing';
  return reason === 'notice' ? 'moving' : 'stopping';
}

/** Whether every member has a durable place in the newest generation. */
function isComplete(state: GroupState): boolean {
  const durable = newestPlaces(state).filter(({ stage }) => stage !== 'reserved');
  return new Set(durable.map(({ member }) => member)).size === state.members;
}

function newestPlaces({ places, generation }: GroupState): MemberPlace[] {
  return places.filter((each) => each.generation === generation);
}

function addPlace(state: GroupState, ref: MemberRef): GroupState {
  const { member, generation } = ref;
  const isNew = state.places.length === 0;
  if (isNew && generation <= state.generation) {
    throw new GenerationViolation(ref, `the group has already had generation ${state.generation}`);
  }
  if (!isNew && (generation !== state.generation || state.ending)) {
    throw new GenerationViolation(ref, 'another generation still has places');
  }
  if (state.places.some((each) => each.member === member)) {
    throw new GenerationViolation(ref, 'the member already has a place');
  }
  const added: MemberPlace = { member, generation, stage: 'reserved', ending: false };
  return { ...state, generation, places: [...state.places, added], ending: false };
}

/** Adds a place that was found in records or heartbeats. Its generation may be any. */
function addFoundPlace(state: GroupState, added: MemberPlace): GroupState {
  const generation = Math.max(state.generation, added.generation);
  return { ...state, generation, places: [...state.places, added] };
}

/** Adopts the newest generation if the records name all of its members, and ends all other generations. */
function adoptInherited(state: GroupState): GroupStep {
  if (state.places.length === 0) return toStep(state);
  const isNewest = (each: MemberPlace) => each.generation === state.generation;
  if (!isComplete(state)) return endGeneration(state, 'incomplete-records');
  return stopPlaces(state, (each) => !isNewest(each));
}

/** Marks a place as recorded. A running member stays running: a machine's record is written again at each change. */
function markRecorded(state: GroupState, event: MemberRef): GroupState {
  const place = state.places.find((each) => isPlaceOf(each, event));
  return place?.stage === 'reserved' ? updatePlace(state, event, { stage: 'recorded' }) : state;
}

function markRunning(state: GroupState, event: MemberRef): GroupState {
  const next = updatePlace(state, event, { stage: 'running' });
  return phaseOf(next) === 'whole' ? { ...next, reason: null } : next;
}

/** Ends the newest generation if the member belongs to it, since the generation can't serve without the member. */
function endIfNewest(state: GroupState, { generation }: MemberRef, reason: EndReason): GroupStep {
  if (generation !== state.generation || state.ending) return toStep(state);
  return endGeneration(state, reason);
}

function endGeneration(state: GroupState, reason: EndReason): GroupStep {
  if (state.ending) return toStep(state);
  return stopPlaces({ ...state, ending: true, reason }, () => true);
}

function stopPlaces(state: GroupState, mustStop: (place: MemberPlace) => boolean): GroupStep {
  const stopped = state.places.filter((each) => !each.ending && mustStop(each));
  const places = state.places.map((each) =>
    stopped.includes(each) ? { ...each, ending: true } : each,
  );
  return { state: { ...state, places }, stop: stopped.map(refOf) };
}

function updatePlace(
  state: GroupState,
  ref: MemberRef,
  change: Partial<Pick<MemberPlace, 'stage' | 'ending'>>,
): GroupState {
  const places = state.places.map((each) => (isPlaceOf(each, ref) ? { ...each, ...change } : each));
  return { ...state, places };
}

function removePlace(state: GroupState, ref: MemberRef): GroupState {
  return { ...state, places: state.places.filter((each) => !isPlaceOf(each, ref)) };
}

function isPlaceOf(place: MemberPlace, { member, generation }: MemberRef): boolean {
  return place.member === member && place.generation === generation;
}

function refOf({ member, generation }: MemberRef): MemberRef {
  return { member, generation };
}

function toStep(state: GroupState): GroupStep {
  return { state, stop: [] };
}
