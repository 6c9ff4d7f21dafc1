/**
 * A small world with one replica: the machines with their records, two leaders one after the other, and commands on
 * their way. That a place is proven gone only when its task is not there and none of its starts can act any more is
 * taken from points 5 and 6 of docs/safety.md; how it is proven is not modelled again.
 */
import { type GroupState, newGroup } from '#replicas';

/** Members of the replica. */
export const MEMBERS = 3;
const MACHINES = 4;

/** A member of a generation. */
export interface Member {
  member: number;
  generation: number;
}

/** A command that was sent and may arrive at any later time. */
export interface Command extends Member {
  verb: 'start' | 'stop';
  /** Fencing token of the leader that sent it. */
  fencingToken: number;
}

/** What a leader believes of one machine. */
export interface LeaderPlace extends Member {
  /** The machine's record names it. */
  durable: boolean;
  /** The leader knows that. */
  recorded: boolean;
  inherited: boolean;
  sent: boolean;
  seenRunning: boolean;
  stopping: boolean;
}

/** One leader with what it believes. */
export interface ModelLeader {
  term: number;
  generationsStarted: number;
  group: GroupState;
  /** By machine. */
  places: (LeaderPlace | null)[];
}

/** One machine: its true state, its record and the commands on their way to it. */
export interface ModelMachine {
  /** `cut`: works, but reaches no leader; `dead`: everything on it is gone. */
  condition: 'up' | 'cut' | 'dead';
  task: Member | null;
  /** Highest fencing token it has seen. */
  fencingToken: number;
  record: Member | null;
  commands: Command[];
}

/** A request that goes from member to member; `marks` holds the generation of each that has marked it, or 0. */
export interface ModelRequest {
  generation: number;
  marks: number[];
}

/** How often each fault may still happen: what keeps the world finite. */
export interface ReplicaBudget {
  failures: number;
  leaderChanges: number;
  lostCommands: number;
  requests: number;
}

/** One state of the model. */
export interface ReplicaModelState {
  leader: ModelLeader;
  /** A former leader that does not know that its term is over. */
  former: ModelLeader | null;
  machines: ModelMachine[];
  request: ModelRequest | null;
  /** An answer was given that is not of one whole generation. */
  hasBrokenAnswer: boolean;
  budget: ReplicaBudget;
}

/** The place that the leader has on the machine; throws if there is none. */
export function placeAt<Place>(leader: { places: (Place | null)[] } | null, at: number): Place {
  const place = leader?.places[at] ?? null;
  if (place === null) throw new Error(`the leader has no place on machine ${at}`);
  return place;
}

/** A leader that knows of no members yet. */
export function newLeader(term: number): ModelLeader {
  const places = Array<LeaderPlace | null>(MACHINES).fill(null);
  return { term, generationsStarted: 0, group: newGroup(MEMBERS), places };
}

/** The state in which nothing has happened yet. */
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
 * Machines are alike, so states that differ only in their order are one; so are states that differ in nothing but the
 * numbers of generations, or in records that nobody will read any more.
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

/** Members are alike, too, as long as no request tells them apart: they are numbered by what is known of them. */
function memberLabels(
  { leader, former, machines, request, budget }: ReplicaModelState,
  rank: Map<number, number>,
): number[] {
  const all = Array.from({ length: MEMBERS }, (_, member) => member);
  if (request !== null || budget.requests > 0) return all;
  const signatures = all.map((member) => {
    const rankOf = (each: Member | null | undefined) =>
      each?.member === member ? rank.get(each.generation) : '';
    const byMachine = machines.map(({ condition, task, fencingToken, record, commands }, at) => {
      const place = leader.places[at];
      const isPlaced = place?.member === member;
      const flags = isPlaced ? [place.durable, place.recorded, place.sent, place.seenRunning] : '';
      const sent = commands.filter((each) => each.member === member).map(({ verb }) => verb);
      const named = [rankOf(task), rankOf(record), rankOf(place), rankOf(former?.places[at])].join(
        ',',
      );
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

/** A new leader may still come, and read the records. */
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
