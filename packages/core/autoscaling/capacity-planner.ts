/** The capacity planner: how many machines of which kinds the fleet needs. */
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

/** Once no job has come for this share of the hold, empty machines are held for a shorter time. */
const QUIET_AFTER_SHARE = 1 / 2;
/** That time, as a share of the hold. */
const QUIET_HOLD_SHARE = 1 / 3;

/** What operators may set of the fleet's size. */
export interface CapacitySettings extends ArrivalSettings {
  /** Seconds for which an empty machine that nothing needs is kept. */
  idleHoldS: number;
}

/** What to do now; the caller carries it out. */
export interface CapacityPlan {
  scaleOut: ScaleOutRequest[];
  /** Idle machines, to be deprovisioned. */
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

/**
 * Sizes the fleet: packs the waiting work, and a reserve for what may come sooner than a machine boots,
 * into the machines that exist. What finds no capacity there is scaled out for, and what is left over
 * is scaled in. Times are seconds of the steady clock.
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

  /** Observes that a job is over for its user. */
  jobEnded(job: Job, now: number): void {
    if (!this.isBestEffort(job)) this.arrivals.jobEnded(job, now);
  }

  /** Assumes that as much work has ended before as came. */
  assumeSteady(now: number): void {
    this.arrivals.assumeSteady(now);
  }

  /** Observes the first heartbeat of a provisioned machine. */
  machineUp(machine: Machine, now: number): void {
    this.bootTimes.machineUp(machine, this.fleet.machines.typeOf(machine), now);
  }

  /** Observes that the cloud gave less than was requested; the kind is not requested again until then. */
  scaleOutRefused(request: ScaleOutRequest, until: number): void {
    this.refusals.record(request, until);
  }

  /** What to scale out and in now; changes nothing but the statistics' decay. */
  plan(now: number): CapacityPlan {
    const existing = existingBins(this.fleet, this.bootTimes.lateAfterBoots(), now);
    const { types } = this.fleet.machines;
    const packing = new BinPacking({ existing, types, refusals: this.refusals, now });
    const waiting = new WaitingWork(this.fleet, this.teams, packing, now);
    waiting.packFirm();
    this.packReserve(packing, now);
    // Replicas are moved only while nothing lacks capacity.
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

  /** Seconds for which an empty machine that nothing needs is held at present. */
  private currentHoldS(now: number): number {
    const isQuiet = now - this.arrivals.lastArrivalAt() > this.idleHoldS * QUIET_AFTER_SHARE;
    return isQuiet ? this.idleHoldS * QUIET_HOLD_SHARE : this.idleHoldS;
  }
}

/** Boot time of the type that boots soonest among those that can run the class; null if none can. */
function shortestBootS({ lastJob }: ClassArrivals, types: MachineType[]): number | null {
  const suitable = types.filter((type) => typeFits(lastJob, type));
  return suitable.length > 0 ? Math.min(...suitable.map((type) => type.bootS)) : null;
}
