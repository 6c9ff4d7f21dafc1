/** Packs tasks into the bins of a plan, and adds bins for tasks that find no capacity. */
import type { Job, MachineType } from '#wire';
import { addResources, ZERO_RESOURCES } from '../model/resources.js';
import { isReservedForOther } from '../placement/availability.js';
import {
  type MachineKind,
  requirementsKey,
  taskCapacity,
  typeFits,
  zoneCapacity,
} from '../placement/task-requirements.js';
import { type Bin, canHold, emptyBin, type ExistingBin, packTasks } from './bins.js';
import { kindKey, type ScaleOutRefusals, type ScaleOutRequest } from './scale-out-requests.js';

/** Maximum number of tasks by which a machine's price is divided, reached if tasks need almost nothing. */
const MAX_PRICE_DIVISOR = 1000;
/** Number of machines in a zone at which prices there count double, so that zones fill evenly. */
const DOUBLED_PRICE_MACHINES = 1000;

/** A kind of machine that may be provisioned, and its price per hour, divided by the tasks that it holds. */
interface PricedKind {
  kind: MachineKind;
  price: number;
}

/** Data computed once per plan for all tasks with the same requirements. */
interface Requirements {
  /**
   * Number of bins at the head of each list without capacity for such a task. Free capacity only shrinks
   * while a plan is made, so these bins are skipped; otherwise each task would visit every machine.
   */
  fullPrefix: { existing: number; provisioned: number };
  /** Kinds of machine that may be provisioned, without those that the cloud has recently refused. */
  kinds: PricedKind[];
}

/** Describes tasks of one job that are to be packed. */
export interface PackingRequest {
  job: Job;
  /** Id of the gang whose reserved machines may be used. */
  gangId: string | null;
  /** Number of the job's tasks by zone, for the limit of tasks in one zone; null if no limit applies. */
  tasksByZone: Map<string, number> | null;
  requirements: Requirements;
}

/** A number of tasks that were packed into one bin. */
export interface PackedTasks {
  bin: Bin;
  tasks: number;
}

/** Input of a plan: machines that are up or booting, machine types by name, and the cloud's refusals. */
export interface PackingOptions {
  existing: ExistingBin[];
  types: ReadonlyMap<string, MachineType>;
  refusals: ScaleOutRefusals;
  now: number;
}

/** Packs tasks into existing machines, and into machines to provision once the existing ones are full. */
export class BinPacking {
  /** Machines that are up or booting. */
  readonly existing: ExistingBin[];
  /** Machines that would be provisioned. */
  readonly provisioned: Bin[] = [];
  private readonly machinesByZone = new Map<string, number>();
  private readonly byRequirements = new Map<string, Requirements>();

  constructor(private readonly options: PackingOptions) {
    this.existing = options.existing;
    for (const { zone } of this.existing) this.countMachine(zone);
  }

  /** Makes the argument of `place` for a job's tasks; one request serves many calls. */
  createRequest(
    job: Job,
    gang: string | null,
    tasksByZone: Map<string, number> | null,
  ): PackingRequest {
    return { job, gangId: gang, tasksByZone, requirements: this.requirementsOf(job) };
  }

  /**
   * Packs as many of `count` tasks as possible into one bin. Returns null if no bin has capacity and no kind
   * of machine that the job allows can be provisioned.
   */
  place(request: PackingRequest, count: number): PackedTasks | null {
    const bin =
      this.firstWithCapacity('existing', request) ??
      this.firstWithCapacity('provisioned', request) ??
      this.provision(request);
    if (bin === null) return null;
    const tasks = Math.min(count, capacityFor(request, bin));
    packTasks(bin, request.job, tasks);
    return { bin, tasks };
  }

  /**
   * Returns the zone for `count` tasks that must be in the same zone: one where existing machines have
   * capacity for all of them, or else one where machines can be provisioned; null if there is none.
   */
  zoneForAll({ job, requirements }: PackingRequest, count: number): string | null {
    const capacityByZone = new Map<string, number>();
    for (const bin of this.existing) {
      if (bin.reservedForGang !== null || !canHold(bin, job)) continue;
      const capacity = (capacityByZone.get(bin.zone) ?? 0) + taskCapacity(job, bin.used, bin.type);
      if (capacity >= count) return bin.zone;
      capacityByZone.set(bin.zone, capacity);
    }
    return this.cheapestKind({ job, gangId: null, tasksByZone: null, requirements })?.zone ?? null;
  }

  /** Adds the amounts that best-effort tasks use to the use of the existing machines. */
  includeBestEffortUse(): void {
    for (const { machine, used } of this.existing) addResources(used, machine.usedBestEffort, 1);
  }

  /** The machines to provision, by kind. */
  scaleOutRequests(): ScaleOutRequest[] {
    const byKind = new Map<string, ScaleOutRequest>();
    for (const { type, zone, spot } of this.provisioned) {
      const key = kindKey(type.name, zone, spot);
      const request = byKind.get(key);
      if (request) request.count++;
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
      requirements = { fullPrefix: { existing: 0, provisioned: 0 }, kinds: this.kindsFor(job) };
      this.byRequirements.set(key, requirements);
    }
    return requirements;
  }

  private kindsFor(job: Job): PricedKind[] {
    const { types, refusals, now } = this.options;
    const kinds: PricedKind[] = [];
    for (const type of types.values()) {
      if (!typeFits(job, type)) continue;
      const fittingTasks = taskCapacity(job, ZERO_RESOURCES, type);
      const priceDivisor = Math.max(1, Math.min(MAX_PRICE_DIVISOR, fittingTasks));
      for (const kind of kindsOfType(job, type)) {
        if (refusals.isRefused(kind, now)) continue;
        kinds.push({ kind, price: (kind.spot ? type.spotPrice : type.price) / priceDivisor });
      }
    }
    return kinds;
  }

  private firstWithCapacity(list: 'existing' | 'provisioned', request: PackingRequest): Bin | null {
    const { job, gangId, tasksByZone, requirements } = request;
    const bins: Bin[] = this[list];
    // A machine that is reserved for a gang still has capacity for that gang, so it does not count as full.
    let fullCount = requirements.fullPrefix[list];
    while (fullCount < bins.length && !canHold(bins[fullCount], job)) fullCount++;
    requirements.fullPrefix[list] = fullCount;
    for (let i = fullCount; i < bins.length; i++) {
      const bin = bins[i];
      if (!canHold(bin, job)) continue;
      if (isReservedForOther(bin.reservedForGang, gangId)) continue;
      if (!isZoneFull(job, bin.zone, tasksByZone)) return bin;
    }
    return null;
  }

  private provision(request: PackingRequest): Bin | null {
    const kind = this.cheapestKind(request);
    if (!kind) return null;
    const bin = emptyBin(kind);
    this.provisioned.push(bin);
    this.countMachine(bin.zone);
    return bin;
  }

  private cheapestKind({ job, tasksByZone, requirements }: PackingRequest): MachineKind | null {
    let best: MachineKind | null = null;
    let lowestCost = Infinity;
    for (const { kind, price } of requirements.kinds) {
      if (isZoneFull(job, kind.zone, tasksByZone)) continue;
      const machines = this.machinesByZone.get(kind.zone) ?? 0;
      const cost = price * (1 + machines / DOUBLED_PRICE_MACHINES);
      if (cost >= lowestCost) continue;
      best = kind;
      lowestCost = cost;
    }
    return best;
  }
}

/** Returns the kinds of machine of a type that the job allows; in each zone, spot comes before on-demand. */
function kindsOfType(job: Job, type: MachineType): MachineKind[] {
  return type.zones
    .filter((zone) => job.zone === null || job.zone === zone)
    .flatMap((zone) => {
      const onDemand = { type, zone, spot: false };
      return job.spot ? [{ type, zone, spot: true }, onDemand] : [onDemand];
    });
}

/** Number of tasks that the bin and its zone can take. At least one, as the bin was chosen for a task. */
function capacityFor({ job, tasksByZone }: PackingRequest, { used, type, zone }: Bin): number {
  const tasksInZone = tasksByZone?.get(zone) ?? 0;
  const leftInZone = tasksByZone === null ? Infinity : zoneCapacity(job) - tasksInZone;
  return Math.max(1, Math.min(taskCapacity(job, used, type), leftInZone));
}

function isZoneFull(job: Job, zone: string, tasksByZone: Map<string, number> | null): boolean {
  return tasksByZone !== null && (tasksByZone.get(zone) ?? 0) >= zoneCapacity(job);
}
