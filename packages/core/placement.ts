import type { Job, MachineType } from '#wire';
import type { FleetState } from './fleet-state.js';
import type { Amounts } from './fairshare.js';
import { assignmentsOf, JobState, Machine } from './model.js';

const SLACK = 1e-9;

/** The users count a start only if no command stops the task for so long. */
export const SETTLED_S = 30;

/** Whether a task of the job could ever run on a machine of this type. */
export function typeFits(job: Job, type: MachineType): boolean {
  return (
    (job.types === null || job.types.includes(type.name)) &&
    (job.zone === null || type.zones.includes(job.zone)) &&
    job.cpus <= type.cpus + SLACK &&
    job.gpus <= type.gpus + SLACK &&
    job.memory <= type.memory + SLACK
  );
}

/** Room left on a machine, given what else was promised on it in this round. */
export function hasRoom(job: Job, machine: { used: Amounts }, type: MachineType): boolean {
  return (
    machine.used.cpus + job.cpus <= type.cpus + SLACK &&
    machine.used.gpus + job.gpus <= type.gpus + SLACK &&
    machine.used.memory + job.memory <= type.memory + SLACK
  );
}

/** Most tasks of the job that one zone may hold. */
export function zoneCap(job: Job): number {
  return job.spread ? Math.ceil(job.tasks / 2) : job.tasks;
}

/** Where a job's tasks are, old attempts included until they are proven gone. */
export function zoneCounts(job: JobState): Map<string, number> {
  const counts = new Map<string, number>();
  for (const a of assignmentsOf(job)) {
    counts.set(a.machine.zone, (counts.get(a.machine.zone) ?? 0) + 1);
  }
  return counts;
}

export function zoneAllowed(job: Job, zone: string, counts: Map<string, number>): boolean {
  if (job.zone !== null && job.zone !== zone) return false;
  if (job.oneZone) {
    for (const [z, n] of counts) if (n > 0 && z !== zone) return false;
  }
  return (counts.get(zone) ?? 0) < zoneCap(job);
}

export function usable(book: FleetState, machine: Machine, now: number): boolean {
  return (
    machine.state === 'up' &&
    !machine.draining &&
    machine.noticeAt === null &&
    !machine.listedFailed &&
    machine.avoidUntil <= now &&
    machine.tasks.size < book.settings.maxTasksPerMachine
  );
}

/** Room made for another job, which still waits and is not of lower rank, is not ours to take. */
export function heldFromUs(machine: Machine, state: JobState, now: number): boolean {
  const held = machine.heldFor;
  if (held === null || held.job === state) return false;
  if (now > held.until || held.job.phase !== 'accepted') machine.heldFor = null;
  else return held.job.job.rank <= state.job.rank && held.job.places.size < held.job.job.tasks;
  return false;
}

/** Seconds that a task would wait for its image on this machine. */
export function fetchTime(job: Job, machine: Machine, type: MachineType): number {
  if (machine.images.has(job.image)) return 0;
  let fetching = 0;
  const others = new Set<string>();
  for (const a of machine.tasks.values()) {
    if (a.reported === 'fetching' || a.reported === null) others.add(a.job.job.image);
  }
  fetching = others.size;
  return (job.imageGb / type.fetchGbPerS) * (1 + fetching);
}

/**
 * Cost of a place in seconds-like units, lower is better: waiting for the image counts as it is; an
 * empty machine is worth keeping whole for gangs; work that may use spot machines should; else the
 * tightest fit wins.
 */
export function placeCost(job: Job, machine: Machine, type: MachineType): number {
  const fetch = fetchTime(job, machine, type);
  const wholeBroken = machine.tasks.size === 0 ? type.bootS / 6 : 0;
  const ordinaryTaken = job.spot && !machine.spot ? type.bootS / 4 : 0;
  const freeGpus = type.gpus > 0 ? 1 - (machine.used.gpus + job.gpus) / type.gpus : 0;
  const freeCpus = type.cpus > 0 ? 1 - (machine.used.cpus + job.cpus) / type.cpus : 0;
  return fetch + wholeBroken + ordinaryTaken + 2 * Math.max(freeGpus, freeCpus);
}

export interface Candidate {
  machine: Machine;
  cost: number;
}

/** A machine with room for one more task of a shape, and what that place costs without `crowd`. */
interface Place {
  machine: Machine;
  type: MachineType;
  /** Infinity: no room any more. */
  cost: number;
  /** The machine's changes when the cost was worked out. */
  changes: number;
}

/**
 * Places by shape of task and image, as they stood when first asked for. Within a round room only
 * shrinks, so a machine that is not in a list can't come into question later in it, and the cost of a
 * place changes only with the tasks on its machine. Without this each of hundreds of waiting jobs
 * looked at each of hundreds of machines in every round. What else may change within a round (holds,
 * reservations) is looked at by those who choose.
 */
export class Places {
  private readonly known = new Map<string, Place[]>();
  private readonly roomy = new Map<string, { machine: Machine; type: MachineType }[]>();
  private zoneNames: Set<string> | null = null;

  constructor(
    private readonly book: FleetState,
    private readonly now: number,
  ) {}

  of(state: JobState): Place[] {
    const key = `${state.shape} ${state.job.image}`;
    let list = this.known.get(key);
    if (!list) {
      list = this.withRoom(state).map((r) => ({ ...r, cost: 0, changes: -1 }));
      this.known.set(key, list);
    }
    return list;
  }

  private withRoom({ shape, job }: JobState): { machine: Machine; type: MachineType }[] {
    let list = this.roomy.get(shape);
    if (!list) {
      this.roomy.set(shape, (list = []));
      for (const machine of this.book.machines.values()) {
        const type = this.book.machines.types.get(machine.type);
        if (!type || !hasRoom(job, machine, type)) continue;
        if ((machine.spot && !job.spot) || !typeFits(job, type)) continue;
        if (job.zone !== null && job.zone !== machine.zone) continue;
        if (usable(this.book, machine, this.now)) list.push({ machine, type });
      }
    }
    return list;
  }

  /** Infinity if the place is gone. */
  cost(place: Place, job: Job): number {
    const { machine, type } = place;
    if (place.changes !== machine.changes) {
      const room = hasRoom(job, machine, type) && usable(this.book, machine, this.now);
      place.cost = room ? placeCost(job, machine, type) : Infinity;
      place.changes = machine.changes;
    }
    return place.cost;
  }

  zones(): Set<string> {
    return (this.zoneNames ??= new Set([...this.book.machines.values()].map((m) => m.zone)));
  }
}

/** The machine that a single task of the job should take now, or null. */
export function choosePlace(
  state: JobState,
  counts: Map<string, number>,
  classZones: Map<string, number>,
  places: Places,
  now: number,
): Machine | null {
  const job = state.job;
  let best: Candidate | null = null;
  for (const place of places.of(state)) {
    const { machine } = place;
    let cost = places.cost(place, job);
    // Replicas of a class spread over zones lose less together.
    if (job.spread) cost += (classZones.get(machine.zone) ?? 0) / 4;
    if (cost === Infinity || (best !== null && cost >= best.cost)) continue;
    if (machine.reservedFor !== null && machine.reservedFor !== job.id) continue;
    if (heldFromUs(machine, state, now) || !zoneAllowed(job, machine.zone, counts)) continue;
    best = { machine, cost };
  }
  return best?.machine ?? null;
}

/** Places for all tasks of a gang at once, or null. Nothing is assigned. */
export function chooseGang(
  book: FleetState,
  state: JobState,
  places: Places,
  now: number,
): Machine[] | null {
  const zones = state.job.oneZone ? places.zones() : [null];
  const options = gangOptions(book, state, places, now);
  let best: { places: Machine[]; cost: number } | null = null;
  for (const zone of zones) {
    const found = fillGang(state, zone, options);
    if (found && (best === null || found.cost < best.cost)) best = found;
  }
  return best?.places ?? null;
}

type GangOption = Candidate & { room: number };

function gangOptions(book: FleetState, state: JobState, places: Places, now: number): GangOption[] {
  const job = state.job;
  const options: GangOption[] = [];
  for (const place of places.of(state)) {
    const { machine, type } = place;
    const cost = places.cost(place, job);
    if (cost === Infinity || heldFromUs(machine, state, now)) continue;
    if (machine.reservedFor !== null && machine.reservedFor !== job.id) continue;
    const room = Math.min(
      job.tasks,
      book.settings.maxTasksPerMachine - machine.tasks.size,
      tasksThatFit(job, machine, type),
    );
    if (room > 0) options.push({ machine, room, cost });
  }
  return options.sort((a, b) => a.cost - b.cost);
}

function fillGang(state: JobState, zone: string | null, options: GangOption[]) {
  const job = state.job;
  const places: Machine[] = [];
  const counts = new Map<string, number>();
  let cost = 0;
  for (const o of options) {
    if (zone !== null && o.machine.zone !== zone) continue;
    const cap = zoneCap(job) - (counts.get(o.machine.zone) ?? 0);
    const take = Math.min(o.room, job.tasks - places.length, cap);
    for (let i = 0; i < take; i++) places.push(o.machine);
    if (take > 0) {
      cost = Math.max(cost, o.cost);
      counts.set(o.machine.zone, (counts.get(o.machine.zone) ?? 0) + take);
    }
    if (places.length === job.tasks) return { places, cost };
  }
  return null;
}

export function tasksThatFit(
  job: Job,
  machine: { used: { cpus: number; gpus: number; memory: number } },
  type: MachineType,
): number {
  const by = (total: number, used: number, need: number) =>
    need > 0 ? Math.floor((total - used + SLACK) / need) : Infinity;
  return Math.max(
    0,
    Math.min(
      by(type.cpus, machine.used.cpus, job.cpus),
      by(type.gpus, machine.used.gpus, job.gpus),
      by(type.memory, machine.used.memory, job.memory),
    ),
  );
}
