/** Best-effort work: what runs on spare capacity only, and gives way at once (docs/design.md). */
import type { Job, MachineType } from '#wire';
import { addAmounts, Amounts, ROUNDING } from '../model/amounts.js';
import type { FleetData } from '../fleet-data.js';
import type { Assignment, JobState, Machine } from '../model/entities.js';
import { LOWEST_RANK } from './ranks.js';
import { hasGuarantee, TeamQuota } from './team-quota.js';

/** Share of a machine's record that best-effort tasks may fill, so that firm work never lacks an entry. */
const MAX_RECORD_FILL = 3 / 4;
/** Boot times without any task after which a best-effort job may use all free capacity. */
const ANY_CAPACITY_AFTER_BOOT_TIMES = 1;
/** Boot times without any task after which a machine may be provisioned for the job. */
const SCALE_OUT_AFTER_BOOT_TIMES = 2;

/**
 * Whether the job is best-effort: of the lowest rank, and its team has no guarantee. It gives way at once
 * to all other work, which this project calls firm.
 */
export function isBestEffort({ rank }: Pick<Job, 'rank'>, quota: TeamQuota | undefined): boolean {
  return rank === LOWEST_RANK && !hasGuarantee(quota);
}

/** The amounts that firm tasks use on the machine. */
export function firmUse({ used, usedBestEffort }: Machine): Amounts {
  const firm = { ...used };
  addAmounts(firm, usedBestEffort, -1);
  return firm;
}

/** Whether a best-effort task may use the machine's free capacity, as far as firm work is concerned. */
export function mayUseSpareCapacity(
  fleet: FleetData,
  job: JobState,
  machine: Machine,
  type: MachineType,
  now: number,
): boolean {
  if (machine.recordBytes >= fleet.settings.machineRecordBytes * MAX_RECORD_FILL) return false;
  return leavesCapacityForGpus(job.spec, machine, type) || mayUseAnyCapacity(fleet, job, now);
}

/** Whether each free accelerator keeps its share of the processors and of the memory. */
function leavesCapacityForGpus(job: Job, { used }: Machine, type: MachineType): boolean {
  if (job.gpus > 0 || type.gpus === 0) return true;
  const freeShare = (type.gpus - used.gpus) / type.gpus;
  return (
    type.cpus - used.cpus - job.cpus >= type.cpus * freeShare - ROUNDING &&
    type.memory - used.memory - job.memory >= type.memory * freeShare - ROUNDING
  );
}

/** Whether the job has waited so long without any task that it need not leave capacity for accelerators. */
export function mayUseAnyCapacity(fleet: FleetData, job: JobState, now: number): boolean {
  return hasStarvedFor(fleet, job, ANY_CAPACITY_AFTER_BOOT_TIMES, now);
}

/** Whether the job has waited so long without any task that a machine may be provisioned for it. */
export function mayScaleOutFor(fleet: FleetData, job: JobState, now: number): boolean {
  return hasStarvedFor(fleet, job, SCALE_OUT_AFTER_BOOT_TIMES, now);
}

function hasStarvedFor(
  { machines }: FleetData,
  job: JobState,
  bootTimes: number,
  now: number,
): boolean {
  return job.assignments.size === 0 && now - job.waitingSince >= bootTimes * machines.shortestBootS;
}

/**
 * Whether a best-effort task on a machine that is to be deprovisioned may run to its end: by its user's
 * estimate it has run for half of its time and ends within a boot time, so that the machine waits for a
 * bounded time.
 */
export function mayRunToEnd(
  { machines }: FleetData,
  { job: { spec }, runningSince }: Assignment,
  now: number,
): boolean {
  if (spec.kind === 'service' || runningSince === null) return false;
  const remainingS = spec.estimateS - (now - runningSince);
  return remainingS <= Math.min(spec.estimateS / 2, machines.shortestBootS);
}
