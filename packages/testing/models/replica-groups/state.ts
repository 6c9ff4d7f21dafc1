/**
 * The state of the replica group model: one replica, the machines with their records, a leader and its predecessor, and
 * the commands in flight. By points 5 and 6 of docs/safety.md, a placed member is proven gone only when its task is not
 * on the machine and none of its starts can take effect any more. The model assumes this proof and does not cover it.
 */
import { type GroupState, newGroup } from '#replicas';

/** Number of members of the replica. */
export const MEMBERS = 3;
const MACHINES = 4;

/** A member of a generation. */
export interface Member {
  member: number;
  generation: number;
}

/** A command in flight, which may arrive at any later time. */
export interface Command extends Member {
  verb: 'start' | 'stop';
  /** Fencing token of the leader that sent it. */
  fencingToken: number;
}

/** What a leader knows of the member that it has placed on a machine. */
export interface LeaderPlace extends Member {
  /** The machine's record names the member. */
  durable: boolean;
  /** The leader knows that the record is durable. */
  recorded: boolean;
  inherited: boolean;
  sent: boolean;
  seenRunning: boolean;
  stopping: boolean;
}

/** A leader and its view of the group. */
export interface ModelLeader {
  term: number;
  generationsStarted: number;
  group: GroupState;
  /** Indexed by machine. */
  places: (LeaderPlace | null)[];
}

/** A machine: its actual state, its record in the state service and the commands in flight to it. */
export interface ModelMachine {
  /** `partitioned`: works, but can't reach a leader; `dead`: all that ran on it is gone. */
  condition: 'up' | 'partitioned' | 'dead';
  task: Member | null;
  /** Highest fencing token that the machine has seen. */
  fencingToken: number;
  record: Member | null;
  commands: Command[];
}

/** A request in flight. `marks` holds, by member, the generation that has marked the request, or 0. */
export interface ModelRequest {
  generation: number;
  marks: number[];
}

/** How often each fault may still happen. Bounds the state space. */
export interface ReplicaBudget {
  failures: number;
  leaderChanges: number;
  lostCommands: number;
  requests: number;
}

/** One state of the model. */
export interface ReplicaModelState {
  leader: ModelLeader;
  /** A deposed leader that does not know that its term is over. */
  former: ModelLeader | null;
  machines: ModelMachine[];
  request: ModelRequest | null;
  /** Whether an answer lacked marks or had marks of different generations. */
  hasBrokenAnswer: boolean;
  budget: ReplicaBudget;
}

/** Returns the place that the leader has on the machine; throws if there is none. */
export function placeAt<Place>(
  leader: { places: (Place | null)[] } | null,
  machineIndex: number,
): Place {
  const place = leader?.places[machineIndex] ?? null;
  if (place === null) throw new Error(`the leader has no place on machine ${machineIndex}`);
  return place;
}

/** Creates a leader that knows of no members yet. */
export function newLeader(term: number): ModelLeader {
  const places = Array<LeaderPlace | null>(MACHINES).fill(null);
  return { term, generationsStarted: 0, group: newGroup(MEMBERS), places };
}

/** The initial state: all machines are up and nothing is placed. */
export function initialState(budget: ReplicaBudget): ReplicaModelState {
  const machines = Array.from({ length: MACHINES }, (): ModelMachine => {
    return { condition: 'up', task: null, fencingToken: 0, record: null, commands: [] };
  });
  return {
    leader: newLeader(1),
    former: null,
    machines,
    request: null,
    hasBrokenAnswer: false,
    budget,
  };
}

/**
 * Symmetry reduction: returns the same key for states that differ only in the order of machines, in the numbers of
 * generations, or in records that no leader will read any more.
 */
export function canonicalKey(state: ReplicaModelState): string {
  const { leader, former, machines, request, hasBrokenAnswer, budget } = state;
  const rank = generationRanks(state);
  const label = memberLabels(state, rank);
  const memberKey = (each: Member | null) =>
    each && `${label[each.member]}.${String(rank.get(each.generation))}`;
  const placeKey = (place: LeaderPlace | null | undefined) => {
    if (!place) return null;
    const { durable, recorded, inherited, sent, seenRunning, stopping } = place;
    const flags = [durable, recorded, inherited, sent, seenRunning, stopping];
    return `${String(memberKey(place))}${flags.map(Number).join('')}`;
  };
  const byMachine = machines.map(({ condition, task, fencingToken, record, commands }, index) =>
    [
      condition,
      memberKey(task),
      fencingToken,
      mayRecordsBeRead(state) ? memberKey(record) : '',
      commands.map((each) => `${each.verb}${String(memberKey(each))}${each.fencingToken}`).sort(),
      placeKey(leader.places[index]),
      placeKey(former?.places[index]),
    ].join(' '),
  );
  const groups = [leader, former].map((each) => each && groupKey(each, memberKey));
  const marks = request?.marks.map((mark) => rank.get(mark));
  const rest = [request && rank.get(request.generation), marks, hasBrokenAnswer, budget];
  return JSON.stringify([byMachine.sort(), groups, rest]);
}

/**
 * Labels for symmetry reduction over the members. Members are interchangeable while no request distinguishes them, so
 * they are numbered by their state.
 */
function memberLabels(
  { leader, former, machines, request, budget }: ReplicaModelState,
  rank: Map<number, number>,
): number[] {
  const all = Array.from({ length: MEMBERS }, (_, member) => member);
  if (request !== null || budget.requests > 0) return all;
  const signatures = all.map((member) => {
    const rankOf = (each: Member | null | undefined) =>
      each?.member === member ? rank.get(each.generation) : '';
    const byMachine = machines.map(({ condition, task, fencingToken, record, commands }, index) => {
      const place = leader.places[index];
      const isPlaced = place?.member === member;
      const flags = isPlaced ? [place.durable, place.recorded, place.sent, place.seenRunning] : '';
      const sent = commands.filter((each) => each.member === member).map(({ verb }) => verb);
      const named = [
        rankOf(task),
        rankOf(record),
        rankOf(place),
        rankOf(former?.places[index]),
      ].join(',');
      return named === ',,,' && sent.length === 0
        ? ''
        : `${condition}${fencingToken}${named}${String(flags)}${String(sent)}`;
    });
    return byMachine.sort().join('|');
  });
  const order = [...all].sort((one, other) =>
    signatures[one] < signatures[other] ? -1 : signatures[one] > signatures[other] ? 1 : 0,
  );
  return all.map((member) => order.indexOf(member));
}

/** Whether a later leader may still read the records. */
export function mayRecordsBeRead({ budget }: ReplicaModelState): boolean {
  return budget.leaderChanges > 0;
}

function groupKey(
  { term, group }: ModelLeader,
  memberKey: (member: Member) => string | null,
): unknown {
  const { generation, places, reason, ending } = group;
  const placeKeys = places.map(
    (each) => `${String(memberKey(each))}${each.stage}${String(each.ending)}`,
  );
  return [term, memberKey({ member: 0, generation }), reason, ending, placeKeys.sort()];
}

function generationRanks({ leader, former, machines, request }: ReplicaModelState) {
  const named = new Set<number>([0]);
  for (const { group, places } of former ? [leader, former] : [leader]) {
    named.add(group.generation);
    for (const place of [...places, ...group.places]) if (place) named.add(place.generation);
  }
  for (const { task, record, commands } of machines) {
    for (const each of [task, record, ...commands]) if (each) named.add(each.generation);
  }
  for (const each of request ? [request.generation, ...request.marks] : []) named.add(each);
  const sorted = [...named].sort((one, other) => one - other);
  return new Map(sorted.map((generation, rank) => [generation, rank]));
}
