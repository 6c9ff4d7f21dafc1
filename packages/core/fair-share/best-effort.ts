/** Best-effort work: it runs on spare capacity only and is preempted without a wait (docs/design.md). */
import type { Job, MachineType } from '#wire';
import { addResources, Resources, ROUNDING_TOLERANCE } from '../model/resources.js';
import type { FleetData } from '../fleet-data.js';
import type { Assignment, JobState, Machine } from '../model/entities.js';
import { LOWEST_RANK } from './ranks.js';
import { hasGuarantee, TeamQuota } from './team-quota.js';

/**
 * Best-effort tasks are added to a machine only while its record is below this fraction of the largest record size.
 * The rest is left for entries of firm (not best-effort) tasks.
 */
const MAX_RECORD_FILL = 3 / 4;
/** Waiting time without any task, in boot times, after which a best-effort job may use all free capacity. */
const ANY_CAPACITY_AFTER_BOOT_TIMES = 1;
/** Waiting time without any task, in boot times, after which a machine may be provisioned for a best-effort job. */
const SCALE_OUT_AFTER_BOOT_TIMES = 2;

/**
 * Whether the job is best-effort: it has the lowest rank and its team has no guarantee. All other work is called
 * firm and may preempt best-effort work without a wait.
 */
export function isBestEffort({ rank }: Pick<Job, 'rank'>, quota: TeamQuota | undefined): boolean {
  return rank === LOWEST_RANK && !hasGuarantee(quota);
}

/** The amounts that firm (not best-effort) tasks use on the machine. */
export function firmUse({ used, usedBestEffort }: Machine): Resources {
  const firm = { ...used };
  addResources(firm, usedBestEffort, -1);
  return firm;
}

/** Whether a task of the best-effort job may use the machine's free capacity without hindering firm work. */
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

/** Whether placing a task of the job leaves each free accelerator its share of the machine's processors and memory. */
function leavesCapacityForGpus(job: Job, { used }: Machine, type: MachineType): boolean {
  if (job.gpus > 0 || type.gpus === 0) return true;
  const freeShare = (type.gpus - used.gpus) / type.gpus;
  return (
    type.cpus - used.cpus - job.cpus >= type.cpus * freeShare - ROUNDING_TOLERANCE &&
    type.memory - used.memory - job.memory >= type.memory * freeShare - ROUNDING_TOLERANCE
  );
}

/** Whether the job has waited long enough without any task to use processors and memory beside free accelerators. */
export function mayUseAnyCapacity(fleet: FleetData, job: JobState, now: number): boolean {
  return hasStarvedFor(fleet, job, ANY_CAPACITY_AFTER_BOOT_TIMES, now);
}

/** Whether the job has waited long enough without any task for a machine to be provisioned for it. */
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
 * Whether a best-effort task on a machine that is to be deprovisioned may run to its end. By its user's estimate
 * it must have run for at least half of its duration and must end within a boot time, which bounds the delay of
 * the deprovisioning.
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
