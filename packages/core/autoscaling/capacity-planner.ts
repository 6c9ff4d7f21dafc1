import type { Job, MachineType } from '#wire';
import { ArrivalSettings, ArrivalStatistics, ClassObjective } from './arrival-statistics.js';
import { BootTimes } from './boot-times.js';
import { Consolidation, findConsolidation } from './consolidation.js';
import { addAmounts, Amounts, dominantShare, multipliedAmounts } from '../model/amounts.js';
import { isBestEffort, mayScaleOutFor } from '../fair-share/best-effort.js';
import { TeamQuota, timesWithinLimit } from '../fair-share/team-quota.js';
import { typeFits } from '../placement/bin-packing.js';
import type { FleetState } from '../fleet-state.js';
import type { JobState, Machine } from '../model/model.js';
import { Refusals, ScaleOutRequest } from './refusals.js';
import { needsOneZone } from '../model/replica-groups.js';
import { SlotPacking } from './slot-packing.js';
import { StandingSlot, standingSlots } from './slots.js';
import { byAge } from '../fair-share/job-order.js';
import { oldestFirst } from '../fair-share/waiting-order.js';

/** Tasks of one job, and jobs of one bucket, that a plan looks at: the next plan sees what is left. */
const MOST_TASKS_PLANNED = 2000;
const MOST_JOBS_PLANNED = 500;

/** Share of a spot machine that best-effort work must use to keep it. */
const WORTH_KEEPING = 1 / 2;

/** Once nothing has come for this share of the hold, empty machines are held for the other only. */
const QUIET_SHARE = 1 / 2;
const QUIET_HOLD = 1 / 3;

/** What operators may set of the fleet's size. */
export interface CapacitySettings extends ArrivalSettings {
  /** Seconds for which an empty machine that nothing needs is kept. */
  idleHoldS: number;
}

/** What to do now; carrying it out is the caller's part. */
export interface CapacityPlan {
  scaleOut: ScaleOutRequest[];
  /** Machines to be given back. */
  scaleIn: Machine[];
  /** A machine to be emptied, or null. */
  consolidation: Consolidation | null;
}

/** What a planner is made of; `teams` are the quotas by team. */
export interface CapacityPlannerOptions {
  fleet: FleetState;
  settings: CapacitySettings;
  objectives: ClassObjective[];
  teams: Map<string, TeamQuota>;
}

/** Sizes the fleet: packs what waits, and room for what may come sooner than a machine boots. */
export class CapacityPlanner {
  private readonly arrivals: ArrivalStatistics;
  private readonly boots = new BootTimes();
  private readonly refusals = new Refusals();

  constructor(private readonly options: CapacityPlannerOptions) {
    this.arrivals = new ArrivalStatistics(options.settings, options.objectives);
  }

  /** A job was accepted. No room is kept for best-effort work. */
  jobArrived(job: Job, now: number): void {
    if (!this.isBestEffort(job)) this.arrivals.jobArrived(job, now);
  }

  /** A job is over for its user. */
  jobEnded(job: Job, now: number): void {
    if (!this.isBestEffort(job)) this.arrivals.jobEnded(job, now);
  }

  /** Takes as much work to have ended before as came. */
  assumeSteady(now: number): void {
    this.arrivals.assumeSteady(now);
  }

  private isBestEffort(job: Job): boolean {
    return isBestEffort(job, this.options.teams.get(job.team));
  }

  /** A rented machine reported for the first time. */
  machineUp(machine: Machine, now: number): void {
    this.boots.machineUp(machine, this.options.fleet.machines.typeOf(machine), now);
  }

  /** The cloud did not give all that was asked for; it is not asked for the kind again until then. */
  scaleOutRefused(request: ScaleOutRequest, until: number): void {
    this.refusals.record(request, until);
  }

  /** What to rent and to give back now; changes nothing but the statistics' decay. */
  plan(now: number): CapacityPlan {
    const { fleet } = this.options;
    const standing = standingSlots(fleet, this.boots.lateFrom(), now);
    const { types } = fleet.machines;
    const packing = new SlotPacking({ standing, types, refusals: this.refusals, now });
    const usage = new Map<string, Amounts>();
    const { firm, bestEffort } = this.waitingJobs(now);
    for (const job of firm.sort(byRankAndSize)) this.packJob(job, packing, usage);
    this.packReserve(packing, now);
    // Replicas are moved only while nothing lacks room.
    const lacksCapacity = packing.provisioned.length > 0;
    const starved = bestEffort.filter((job) => mayScaleOutFor(fleet, job, now));
    if (starved.length > 0) packing.countBestEffort();
    for (const job of starved.sort(byRankAndSize)) this.packJob(job, packing, usage, 1);
    return {
      scaleOut: packing.scaleOutRequests(),
      scaleIn: this.idleMachines(standing, now),
      consolidation: lacksCapacity ? null : findConsolidation(fleet, standing, now),
    };
  }

  /** The jobs that a plan looks at. */
  private waitingJobs(now: number): { firm: JobState[]; bestEffort: JobState[] } {
    const firm: JobState[] = [];
    const bestEffort: JobState[] = [];
    for (const bucket of this.options.fleet.jobs.waiting.buckets()) {
      const jobs = firstOf(this.claiming(oldestFirst([bucket]), now), MOST_JOBS_PLANNED);
      (bucket.isBestEffort ? bestEffort : firm).push(...jobs);
    }
    return { firm, bestEffort };
  }

  /** Those jobs whose failures don't speak against renting for them. */
  private *claiming(jobs: Iterable<JobState>, now: number): Generator<JobState> {
    for (const job of jobs) if (this.options.fleet.failures.mayRequestCapacity(job, now)) yield job;
  }

  /** Packs the job's waiting tasks on at most so many machines. */
  private packJob(
    job: JobState,
    packing: SlotPacking,
    usage: Map<string, Amounts>,
    mostMachines = Infinity,
  ): void {
    const { fleet, teams } = this.options;
    const { spec } = job;
    const quota = teams.get(spec.team);
    if (!quota) return;
    let used = usage.get(spec.team);
    if (!used) usage.set(spec.team, (used = { ...fleet.usage.ofTeam(spec.team) }));
    const zones = new Map<string, number>();
    const startable = Math.min(fleet.jobs.waitingCount(job), fleet.failures.startableTasks(job));
    const waiting = Math.min(startable, MOST_TASKS_PLANNED);
    const most = Math.min(waiting, timesWithinLimit(quota, used, spec));
    const together = job.replicas?.members ?? most;
    for (let left = most; left > 0; left -= together) {
      const tasks = Math.min(left, together);
      const packed = this.packTogether(job, tasks, packing, zones, mostMachines);
      addAmounts(used, multipliedAmounts(spec, packed), 1);
      if (packed < tasks) return;
    }
  }

  /**
   * Packs so many tasks of a job, or of one replica, on at most so many machines; returns how many found room.
   * `zones` counts the job's tasks.
   */
  private packTogether(
    job: JobState,
    count: number,
    packing: SlotPacking,
    zones: Map<string, number>,
    mostMachines: number,
  ): number {
    const { spec, replicas } = job;
    const oneZone = needsOneZone(job);
    const zone = zoneToPack(spec, packing.standing);
    let request = packing.request({ ...spec, zone }, spec.id, zones);
    if (replicas !== null && oneZone && zone === null) {
      const chosen = packing.zoneForAll(request, count);
      request = packing.request({ ...spec, zone: chosen }, spec.id, zones);
    }
    let left = count;
    for (let machines = 0; left > 0 && machines < mostMachines; machines++) {
      const packed = packing.place(request, left);
      if (!packed) break;
      const { slot, tasks } = packed;
      if (oneZone && request.job.zone === null) {
        request = packing.request({ ...spec, zone: slot.zone }, spec.id, zones);
      }
      zones.set(slot.zone, (zones.get(slot.zone) ?? 0) + tasks);
      left -= tasks;
    }
    return count - left;
  }

  private packReserve(packing: SlotPacking, now: number): void {
    const types = [...this.options.fleet.machines.types.values()];
    for (const arrivals of this.arrivals.classes()) {
      const { sample } = arrivals;
      const fitting = types.filter((type) => typeFits(sample, type));
      if (fitting.length === 0) continue;
      const bootS = Math.min(...fitting.map((type) => type.bootS));
      const request = packing.request(sample, null, null);
      let left = this.arrivals.reserveTasks(arrivals, bootS, now);
      while (left > 0) left -= packing.place(request, left)?.tasks ?? left;
    }
  }

  /** Empty machines that neither waiting work nor the reserve needs, after a while. */
  private idleMachines(standing: StandingSlot[], now: number): Machine[] {
    const { idleHoldS } = this.options.settings;
    const isQuiet = now - this.arrivals.lastArrivalAt() > idleHoldS * QUIET_SHARE;
    const heldS = isQuiet ? idleHoldS * QUIET_HOLD : idleHoldS;
    return standing
      .filter((slot) => !slot.touched && isIdle(slot, heldS, now))
      .map(({ machine }) => machine);
  }
}

/** Where a job that must stay in one zone is packed: where machines are reserved for it, if so. */
function zoneToPack(job: Job, standing: StandingSlot[]): string | null {
  if (!job.oneZone) return job.zone;
  return standing.find((slot) => slot.reservedForGang === job.id)?.zone ?? job.zone;
}

function isIdle({ machine, type }: StandingSlot, heldS: number, now: number): boolean {
  const { firmTasks, reservedForGang, state, idleSince } = machine;
  if (firmTasks > 0 || reservedForGang !== null || state === 'booting') return false;
  return now - idleSince >= heldS && !isWorthKeeping(machine, type);
}

/** Best-effort work keeps a machine that is cheap and well used by it, and no other. */
function isWorthKeeping({ spot, usedBestEffort }: Machine, type: MachineType): boolean {
  return spot && dominantShare(usedBestEffort, type) >= WORTH_KEEPING;
}

function firstOf<T>(items: Iterable<T>, most: number): T[] {
  const first: T[] = [];
  for (const item of items) {
    if (first.length === most) break;
    first.push(item);
  }
  return first;
}

/** Higher ranks first, then whole-machine work before what fits into gaps, then the oldest. */
function byRankAndSize(a: JobState, b: JobState): number {
  return a.rank - b.rank || sizeOf(b.spec) - sizeOf(a.spec) || byAge(a, b);
}

/** Accelerators count before processors. */
function sizeOf(job: Job): number {
  return job.gpus * 1000 + job.cpus;
}
