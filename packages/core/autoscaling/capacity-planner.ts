/** The capacity planner: determines how many machines of which kinds the fleet needs. */
import type { Job, MachineType } from '#wire';
import { isBestEffort } from '../fair-share/best-effort.js';
import type { TeamQuota } from '../fair-share/team-quota.js';
import type { FleetState } from '../fleet-state.js';
import type { Machine } from '../model/entities.js';
import { typeFits } from '../placement/task-requirements.js';
import {
  type ArrivalSettings,
  ArrivalStatistics,
  type ClassArrivals,
  type ClassObjective,
} from './arrival-statistics.js';
import { BinPacking } from './bin-packing.js';
import { existingBins } from './bins.js';
import { BootTimes } from './boot-times.js';
import { type Consolidation, findConsolidation } from './consolidation.js';
import { idleMachines } from './idle-machines.js';
import { ScaleOutRefusals, type ScaleOutRequest } from './scale-out-requests.js';
import { WaitingWork } from './waiting-work.js';

/** Share of `idleHoldS` without a job after which empty machines are kept for a shorter time. */
const QUIET_AFTER_SHARE = 1 / 2;
/** Share of `idleHoldS` for which empty machines are kept while no jobs arrive. */
const QUIET_HOLD_SHARE = 1 / 3;

/** Fleet size settings of the operators. */
export interface CapacitySettings extends ArrivalSettings {
  /** Seconds for which an empty machine is kept that the plan does not need. */
  idleHoldS: number;
}

/** Machines to scale out, scale in and consolidate; the caller carries the plan out. */
export interface CapacityPlan {
  scaleOut: ScaleOutRequest[];
  /** Idle machines, to be deprovisioned. */
  scaleIn: Machine[];
  /** A machine to be emptied by moving its replicas, or null. */
  consolidation: Consolidation | null;
}

/** Options of the planner; `teams` holds the quotas by team. */
export interface CapacityPlannerOptions {
  fleet: FleetState;
  settings: CapacitySettings;
  objectives: ClassObjective[];
  teams: Map<string, TeamQuota>;
}

/**
 * Sizes the fleet. The planner packs the waiting tasks into the existing machines, with a reserve for tasks
 * that may arrive before a new machine could boot. It scales out for tasks that find no capacity, and scales
 * in machines that are not needed. Times are seconds of the monotonic clock.
 */
export class CapacityPlanner {
  private readonly fleet: FleetState;
  private readonly idleHoldS: number;
  private readonly teams: ReadonlyMap<string, TeamQuota>;
  private readonly arrivals: ArrivalStatistics;
  private readonly bootTimes = new BootTimes();
  private readonly refusals = new ScaleOutRefusals();

  constructor({ fleet, settings, objectives, teams }: CapacityPlannerOptions) {
    this.fleet = fleet;
    this.idleHoldS = settings.idleHoldS;
    this.teams = teams;
    this.arrivals = new ArrivalStatistics(settings, objectives);
  }

  /** Observes that a job was accepted. No reserve is kept for best-effort work. */
  jobArrived(job: Job, now: number): void {
    if (!this.isBestEffort(job)) this.arrivals.jobArrived(job, now);
  }

  /** Observes that a job has ended from its user's point of view. */
  jobEnded(job: Job, now: number): void {
    if (!this.isBestEffort(job)) this.arrivals.jobEnded(job, now);
  }

  /** Assumes that tasks have ended at the rate at which they arrived, for a leader that has just taken over. */
  assumeSteadyState(now: number): void {
    this.arrivals.assumeSteadyState(now);
  }

  /** Observes the first heartbeat of a provisioned machine. */
  machineUp(machine: Machine, now: number): void {
    this.bootTimes.machineUp(machine, this.fleet.machines.typeOf(machine), now);
  }

  /** Observes that the cloud provided fewer machines than requested; the kind is not requested before `until`. */
  scaleOutRefused(request: ScaleOutRequest, until: number): void {
    this.refusals.record(request, until);
  }

  /** Plans what to scale out and in at `now`; changes no state except the decay of the arrival statistics. */
  plan(now: number): CapacityPlan {
    const existing = existingBins(this.fleet, this.bootTimes.lateAfterBoots(), now);
    const { types } = this.fleet.machines;
    const packing = new BinPacking({ existing, types, refusals: this.refusals, now });
    const waiting = new WaitingWork(this.fleet, this.teams, packing, now);
    waiting.packFirm();
    this.packReserve(packing, now);
    // Replicas are moved only if the plan provisions no machines for firm tasks or the reserve.
    const lacksCapacity = packing.provisioned.length > 0;
    waiting.packStarvedBestEffort();
    return {
      scaleOut: packing.scaleOutRequests(),
      scaleIn: idleMachines(existing, this.currentHoldS(now), now),
      consolidation: lacksCapacity ? null : findConsolidation(this.fleet, existing, now),
    };
  }

  private isBestEffort(job: Job): boolean {
    return isBestEffort(job, this.teams.get(job.team));
  }

  private packReserve(packing: BinPacking, now: number): void {
    const types = [...this.fleet.machines.types.values()];
    for (const arrivals of this.arrivals.classes()) {
      const bootS = shortestBootS(arrivals, types);
      if (bootS === null) continue;
      const request = packing.createRequest(arrivals.lastJob, null, null);
      let left = this.arrivals.reserveTasks(arrivals, bootS, now);
      while (left > 0) left -= packing.place(request, left)?.tasks ?? left;
    }
  }

  /** Seconds for which an empty machine is kept at `now` if the plan does not need it. */
  private currentHoldS(now: number): number {
    const isQuiet = now - this.arrivals.lastArrivalAt() > this.idleHoldS * QUIET_AFTER_SHARE;
    return isQuiet ? this.idleHoldS * QUIET_HOLD_SHARE : this.idleHoldS;
  }
}

/** Returns the shortest boot time of the types that can run the class; null if none can. */
function shortestBootS({ lastJob }: ClassArrivals, types: MachineType[]): number | null {
  const suitable = types.filter((type) => typeFits(lastJob, type));
  return suitable.length > 0 ? Math.min(...suitable.map((type) => type.bootS)) : null;
}
