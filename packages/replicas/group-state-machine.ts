/**
 * The state machine of one replica group: the members of one replica, which start, serve and end together. Pure: it
 * knows neither clock nor machines. A generation is the attempt number that all members of one start carry. Attempt
 * numbers rise with the leader's term, so a generation also tells terms apart (docs/replica-groups.md).
 */

/** What a group is doing, as operators see it. */
export type GroupPhase =
  /** No member has a place. */
  | 'waiting'
  /** All members have places, and not all of these are durable: nothing was started. */
  | 'reserved'
  /** All places are durable; not all members run yet. */
  | 'starting'
  /** All members of one generation run. */
  | 'whole'
  /** A member was lost; the rest of its generation ends. */
  | 'repairing'
  /** The generation ends so that another can start on other machines. */
  | 'moving'
  /** The generation ends for another reason. */
  | 'stopping';

/** Why a generation ended or ends. */
export type EndReason =
  | 'member-lost'
  /** The records that a new leader loaded do not name every member. */
  | 'incomplete-records'
  /** Not all members ran in time. */
  | 'start-deadline'
  /** The cloud takes a member's machine back. */
  | 'notice'
  | 'preempted'
  /** A member was stopped by itself. */
  | 'member-stopped';

/** Where one member of one generation is, until it is proven gone. */
export interface MemberPlace {
  readonly member: number;
  readonly generation: number;
  readonly stage: 'reserved' | 'recorded' | 'running';
  /** Its end was asked for. */
  readonly ending: boolean;
}

/** What is known of a group; it is never changed in place. */
export interface GroupState {
  /** Members of the replica. */
  readonly members: number;
  /** The newest generation that was begun or found; 0 if there was none. */
  readonly generation: number;
  readonly places: readonly MemberPlace[];
  /** Why the newest generation is not to serve any more, or why the one before ended; null once one is whole. */
  readonly reason: EndReason | null;
  /** The newest generation is to end. */
  readonly ending: boolean;
}

/** A member of a generation. */
export interface MemberRef {
  member: number;
  generation: number;
}

/** What happens to a group. */
export type GroupEvent =
  | ({ kind: 'placed' } & MemberRef)
  /** Found in the records of an earlier term. */
  | ({ kind: 'inherited' } & MemberRef)
  /** In a worker's heartbeat though no record names it; it is being stopped already. */
  | ({ kind: 'unrecorded' } & MemberRef)
  /** All records of earlier terms have been read. */
  | { kind: 'loaded' }
  | ({ kind: 'recorded' } & MemberRef)
  | ({ kind: 'running' } & MemberRef)
  /** The member's end was asked for. */
  | ({ kind: 'stopping' } & MemberRef)
  /** The member is proven gone. */
  | ({ kind: 'gone' } & MemberRef)
  /** The whole generation is to end. */
  | { kind: 'end'; reason: EndReason };

/** What an event changes, and what has to be done about it. */
export interface GroupStep {
  state: GroupState;
  /** Members to be stopped now, which the state counts as ending already. */
  stop: MemberRef[];
}

/** A member was given a place that breaks the rules of a generation: a fault of the program. */
class GenerationViolation extends Error {
  override readonly name = 'GenerationViolation';

  constructor(
    readonly member: MemberRef,
    reason: string,
  ) {
    super(`member ${member.member} of generation ${member.generation}: ${reason}`);
  }
}

/** A group without any place. */
export function newGroup(members: number): GroupState {
  return { members, generation: 0, places: [], reason: null, ending: false };
}

/** Applies an event; throws GenerationViolation for a place that must not be given. */
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

/** Whether starts of that generation may be sent: every member has a durable place, and nothing else is left. */
export function mayStart(state: GroupState, generation: number): boolean {
  const isNewest = generation === state.generation && !state.ending;
  return isNewest && isComplete(state) && state.places.length === state.members;
}

/** Whether places may be given to the members: no earlier generation has any left. */
export function mayBePlaced({ places }: GroupState): boolean {
  return places.length === 0;
}

/** What the group is doing, as operators see it. */
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

/** Every member has a durable place in the newest generation. */
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
    throw new GenerationViolation(ref, `it is placed after generation ${state.generation}`);
  }
  if (!isNew && (generation !== state.generation || state.ending)) {
    throw new GenerationViolation(ref, 'it is placed while another generation has places');
  }
  if (state.places.some((each) => each.member === member)) {
    throw new GenerationViolation(ref, 'it has a place already');
  }
  const added: MemberPlace = { member, generation, stage: 'reserved', ending: false };
  return { ...state, generation, places: [...state.places, added], ending: false };
}

/** A place that was found, of whatever generation. */
function addFoundPlace(state: GroupState, added: MemberPlace): GroupState {
  const generation = Math.max(state.generation, added.generation);
  return { ...state, generation, places: [...state.places, added] };
}

/** A new leader adopts the newest generation if the records name all of it, and ends all others. */
function adoptInherited(state: GroupState): GroupStep {
  if (state.places.length === 0) return toStep(state);
  const isNewest = (each: MemberPlace) => each.generation === state.generation;
  if (!isComplete(state)) return endGeneration(state, 'incomplete-records');
  return stopPlaces(state, (each) => !isNewest(each));
}

/** A machine's record is written again with each change of it; a member that runs goes on running. */
function markRecorded(state: GroupState, event: MemberRef): GroupState {
  const place = state.places.find((each) => isPlaceOf(each, event));
  return place?.stage === 'reserved' ? updatePlace(state, event, { stage: 'recorded' }) : state;
}

function markRunning(state: GroupState, event: MemberRef): GroupState {
  const next = updatePlace(state, event, { stage: 'running' });
  return phaseOf(next) === 'whole' ? { ...next, reason: null } : next;
}

/** The newest generation can't serve without the member. */
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
