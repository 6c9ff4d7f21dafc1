import type { Job, MachineType } from '#wire';
import { addAmounts, ZERO_AMOUNTS } from '../model/amounts.js';
import {
  MachineKind,
  requirementsKey,
  tasksThatFit,
  typeFits,
  zoneCap,
} from '../placement/bin-packing.js';
import { kindKey, Refusals, ScaleOutRequest } from './refusals.js';
import { emptySlot, holds, Slot, StandingSlot, reserveCapacity } from './slots.js';

/** Most tasks of one machine that its price is divided by, if tasks need next to nothing. */
const MOST_PRICE_SHARES = 1000;
/** The price counts double when a zone has so many machines, so that zones fill alike. */
const CROWDED_ZONE_MACHINES = 1000;

/** A kind of machine that may be rented for tasks, and its price per hour and task. */
interface PricedKind {
  kind: MachineKind;
  price: number;
}

/** What is found out once for all tasks of the same requirements. */
interface Requirements {
  /**
   * How many slots at the head of each list have no room. Room only shrinks while a plan is made, so
   * these need not be looked at again: else each task looked at every machine.
   */
  full: { standing: number; provisioned: number };
  /** Kinds to rent, less those that the cloud has just refused. */
  kinds: PricedKind[];
}

/** Tasks of one job that are to be packed. */
export interface PackingRequest {
  job: Job;
  /** Id of the gang whose reserved machines may be used. */
  gang: string | null;
  /** Tasks of the job by zone, which bound how many more one zone takes; null if nothing bounds them. */
  tasksByZone: Map<string, number> | null;
  requirements: Requirements;
}

/** Tasks that were packed on one machine. */
export interface Packed {
  slot: Slot;
  tasks: number;
}

/** What a plan starts from: machines that stand or boot, types by name, and what is not to be had. */
export interface PackingOptions {
  standing: StandingSlot[];
  types: ReadonlyMap<string, MachineType>;
  refusals: Refusals;
  now: number;
}

/** Packs tasks into machines that stand, and rents machines in mind for what has no room there. */
export class SlotPacking {
  readonly standing: StandingSlot[];
  /** Machines that would be rented. */
  readonly provisioned: Slot[] = [];
  private readonly machinesByZone = new Map<string, number>();
  private readonly byRequirements = new Map<string, Requirements>();

  constructor(private readonly options: PackingOptions) {
    this.standing = options.standing;
    for (const { zone } of this.standing) this.countMachine(zone);
  }

  /** Groups what `place` needs to know of a job's tasks; to be made once for many of them. */
  request(job: Job, gang: string | null, tasksByZone: Map<string, number> | null): PackingRequest {
    return { job, gang, tasksByZone, requirements: this.requirementsOf(job) };
  }

  /**
   * Takes room for up to `count` tasks on one machine, as many as it has room for. Null if there is none
   * and the cloud refuses all kinds that would do.
   */
  place(request: PackingRequest, count: number): Packed | null {
    const slot =
      this.firstWithCapacity('standing', request) ??
      this.firstWithCapacity('provisioned', request) ??
      this.provision(request);
    if (slot === null) return null;
    const tasks = Math.min(count, capacityFor(request, slot));
    reserveCapacity(slot, request.job, tasks);
    return { slot, tasks };
  }

  /**
   * The zone for tasks that must be in the same one: where standing machines have room for all of them, or else where
   * machines can be rented; null if there is none.
   */
  zoneForAll({ job, requirements }: PackingRequest, count: number): string | null {
    const capacityByZone = new Map<string, number>();
    for (const slot of this.standing) {
      if (slot.reservedForGang !== null || !holds(slot, job)) continue;
      const capacity =
        (capacityByZone.get(slot.zone) ?? 0) + tasksThatFit(job, slot.used, slot.type);
      if (capacity >= count) return slot.zone;
      capacityByZone.set(slot.zone, capacity);
    }
    return this.cheapestKind({ job, gang: null, tasksByZone: null, requirements })?.zone ?? null;
  }

  /** From now on what best-effort work takes of the standing machines counts, too. */
  countBestEffort(): void {
    for (const { machine, used } of this.standing) addAmounts(used, machine.usedBestEffort, 1);
  }

  /** The machines to rent, by kind. */
  scaleOutRequests(): ScaleOutRequest[] {
    const byKind = new Map<string, ScaleOutRequest>();
    for (const { type, zone, spot } of this.provisioned) {
      const key = kindKey(type.name, zone, spot);
      const known = byKind.get(key);
      if (known) known.count++;
      else byKind.set(key, { type: type.name, zone, spot, count: 1 });
    }
    return [...byKind.values()];
  }

  private countMachine(zone: string): void {
    this.machinesByZone.set(zone, (this.machinesByZone.get(zone) ?? 0) + 1);
  }

  private requirementsOf(job: Job): Requirements {
    const key = requirementsKey(job);
    let requirements = this.byRequirements.get(key);
    if (!requirements) {
      requirements = { full: { standing: 0, provisioned: 0 }, kinds: this.kindsFor(job) };
      this.byRequirements.set(key, requirements);
    }
    return requirements;
  }

  private kindsFor(job: Job): PricedKind[] {
    const { types, refusals, now } = this.options;
    const kinds: PricedKind[] = [];
    for (const type of types.values()) {
      if (!typeFits(job, type)) continue;
      const fitting = tasksThatFit(job, ZERO_AMOUNTS, type);
      const shares = Math.max(1, Math.min(MOST_PRICE_SHARES, fitting));
      for (const kind of kindsOfType(job, type)) {
        if (refusals.includes(kind, now)) continue;
        kinds.push({ kind, price: (kind.spot ? type.spotPrice : type.price) / shares });
      }
    }
    return kinds;
  }

  private firstWithCapacity(
    list: 'standing' | 'provisioned',
    request: PackingRequest,
  ): Slot | null {
    const { job, gang, tasksByZone, requirements } = request;
    const slots: Slot[] = this[list];
    // What is reserved for a gang has room, though for that gang only.
    let full = requirements.full[list];
    while (full < slots.length && !holds(slots[full], job)) full++;
    requirements.full[list] = full;
    for (let i = full; i < slots.length; i++) {
      const slot = slots[i];
      if (!holds(slot, job)) continue;
      if (slot.reservedForGang !== null && slot.reservedForGang !== gang) continue;
      if (!isZoneFull(job, slot.zone, tasksByZone)) return slot;
    }
    return null;
  }

  private provision(request: PackingRequest): Slot | null {
    const kind = this.cheapestKind(request);
    if (!kind) return null;
    const slot = emptySlot(kind);
    this.provisioned.push(slot);
    this.countMachine(slot.zone);
    return slot;
  }

  private cheapestKind({ job, tasksByZone, requirements }: PackingRequest): MachineKind | null {
    let best: MachineKind | null = null;
    let lowest = Infinity;
    for (const { kind, price } of requirements.kinds) {
      if (isZoneFull(job, kind.zone, tasksByZone)) continue;
      const machines = this.machinesByZone.get(kind.zone) ?? 0;
      const cost = price * (1 + machines / CROWDED_ZONE_MACHINES);
      if (cost >= lowest) continue;
      best = kind;
      lowest = cost;
    }
    return best;
  }
}

/** The zones and kinds of a type that the job allows, spot machines first. */
function kindsOfType(job: Job, type: MachineType): MachineKind[] {
  return type.zones
    .filter((zone) => job.zone === null || job.zone === zone)
    .flatMap((zone) => {
      const ordinary = { type, zone, spot: false };
      return job.spot ? [{ type, zone, spot: true }, ordinary] : [ordinary];
    });
}

/** Tasks that the slot has room for, and that its zone may still take; one at least, since one was found to fit. */
function capacityFor({ job, tasksByZone }: PackingRequest, { used, type, zone }: Slot): number {
  const inZone = tasksByZone?.get(zone) ?? 0;
  const zoneCapacity = tasksByZone === null ? Infinity : zoneCap(job) - inZone;
  return Math.max(1, Math.min(tasksThatFit(job, used, type), zoneCapacity));
}

function isZoneFull(job: Job, zone: string, tasksByZone: Map<string, number> | null): boolean {
  return tasksByZone !== null && (tasksByZone.get(zone) ?? 0) >= zoneCap(job);
}
