import type { Job, MachineType } from '#wire';
import { addAmounts, Amounts, ROUNDING } from '../model/amounts.js';
import type { FleetTables } from '../fleet-tables.js';
import type { Assignment, JobState, Machine } from '../model/model.js';
import { LOWEST_RANK } from './ranks.js';
import { hasGuarantee, TeamQuota } from './team-quota.js';

/** Share of a machine's record that best-effort tasks may fill, so that other work never lacks a line. */
const RECORD_SHARE = 3 / 4;
/** Boot times that a best-effort job may wait before it may use any free room, and before room is rented. */
const ANY_CAPACITY_AFTER_BOOTS = 1;
const SCALE_OUT_AFTER_BOOTS = 2;

/**
 * Whether the job's work runs on room that is there anyway: work of the lowest rank whose team has no
 * guarantee. It gives way at once to all other work, which this project calls firm (docs/design.md).
 */
export function isBestEffort({ rank }: Pick<Job, 'rank'>, quota: TeamQuota | undefined): boolean {
  return rank === LOWEST_RANK && !hasGuarantee(quota);
}

/** What all but best-effort tasks take of the machine. */
export function firmUse({ used, usedBestEffort }: Machine): Amounts {
  const firm = { ...used };
  addAmounts(firm, usedBestEffort, -1);
  return firm;
}

/** Whether a best-effort task may have the room on the machine, as far as firm work is concerned. */
export function mayUseSpareCapacity(
  fleet: FleetTables,
  job: JobState,
  machine: Machine,
  type: MachineType,
  now: number,
): boolean {
  if (machine.recordBytes >= fleet.settings.machineRecordBytes * RECORD_SHARE) return false;
  return leavesCapacityForGpus(job.spec, machine, type) || mayUseAnyCapacity(fleet, job, now);
}

/** Whether each free accelerator keeps its part of the processors and of the memory. */
function leavesCapacityForGpus(job: Job, { used }: Machine, type: MachineType): boolean {
  if (job.gpus > 0 || type.gpus === 0) return true;
  const freeShare = (type.gpus - used.gpus) / type.gpus;
  return (
    type.cpus - used.cpus - job.cpus >= type.cpus * freeShare - ROUNDING &&
    type.memory - used.memory - job.memory >= type.memory * freeShare - ROUNDING
  );
}

/** The job has waited so long without a place that it need not leave room for accelerators. */
export function mayUseAnyCapacity(fleet: FleetTables, job: JobState, now: number): boolean {
  return hasStarvedFor(fleet, job, ANY_CAPACITY_AFTER_BOOTS, now);
}

/** Whether the job has waited so long without a place that room may be rented for it. */
export function mayScaleOutFor(fleet: FleetTables, job: JobState, now: number): boolean {
  return hasStarvedFor(fleet, job, SCALE_OUT_AFTER_BOOTS, now);
}

function hasStarvedFor(
  { machines }: FleetTables,
  job: JobState,
  boots: number,
  now: number,
): boolean {
  return job.assignments.size === 0 && now - job.waitingSince >= boots * machines.shortestBootS;
}

/**
 * Whether a best-effort task on a machine that is to be given back is let end: by its owner's estimate it
 * has run half of its time and ends within a boot time, so that the machine waits for a bounded time.
 */
export function isLetEnd(
  { machines }: FleetTables,
  { job: { spec }, runningSince }: Assignment,
  now: number,
): boolean {
  if (spec.kind === 'service' || runningSince === null) return false;
  const restS = spec.estimateS - (now - runningSince);
  return restS <= Math.min(spec.estimateS / 2, machines.shortestBootS);
}
