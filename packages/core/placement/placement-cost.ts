/** The cost of a place for a task, in seconds; the machine of lowest cost is chosen. */
import type { Job, MachineType } from '#wire';
import type { Machine } from '../model/entities.js';

/** The first task on an empty machine costs the type's boot time divided by this. */
const EMPTY_MACHINE_DIVISOR = 6;
/** An ordinary machine costs a task that may run on a spot machine the boot time divided by this. */
const ON_DEMAND_MACHINE_DIVISOR = 4;
/** The first best-effort task on a machine costs the boot time divided by this. */
const FIRST_BEST_EFFORT_DIVISOR = 3;
/** Seconds that an otherwise empty machine costs more than one that gets full. */
const UNUSED_CAPACITY_S = 2;
/** Seconds for each task of the class in the zone, for classes that spread. */
export const SPREAD_TASK_COST_S = 1 / 4;

/** Seconds that a task would wait for its image on this machine. */
function imageWaitS(job: Job, machine: Machine, type: MachineType): number {
  if (machine.images.has(job.image)) return 0;
  const fetchingImages = new Set<string>();
  for (const { reportedState, job: other } of machine.tasks.values()) {
    if (reportedState === 'fetching' || reportedState === null)
      fetchingImages.add(other.spec.image);
  }
  return (job.imageGb / type.fetchGbPerS) * (1 + fetchingImages.size);
}

/**
 * Cost of a place for a best-effort task without accelerators. It prefers machines that are likely to
 * stay, which are ordinary ones whose accelerators are in use, and few of these, so that few records
 * change for short tasks.
 */
export function spareCapacityCost(job: Job, machine: Machine, type: MachineType): number {
  const { tasks, firmTasks, used, spot } = machine;
  const isFirstBestEffort = tasks.size === firmTasks;
  const firstTaskS = isFirstBestEffort ? type.bootS / FIRST_BEST_EFFORT_DIVISOR : 0;
  const idleGpus = type.gpus > 0 ? 1 - used.gpus / type.gpus : 0;
  const removalRiskS = type.bootS * (idleGpus + (spot ? 1 : 0));
  const usedCpus = type.cpus > 0 ? used.cpus / type.cpus : 0;
  return imageWaitS(job, machine, type) + firstTaskS + removalRiskS + UNUSED_CAPACITY_S * usedCpus;
}

/**
 * Cost of a place for any other task. The wait for the image counts as it is; an empty machine is worth
 * keeping empty for gangs; work that may use spot machines should; else the tightest packing wins.
 */
export function placementCost(job: Job, machine: Machine, type: MachineType): number {
  const fetchS = imageWaitS(job, machine, type);
  const emptyMachineS = machine.tasks.size === 0 ? type.bootS / EMPTY_MACHINE_DIVISOR : 0;
  const isOnDemandForSpot = job.spot && !machine.spot;
  const onDemandMachineS = isOnDemandForSpot ? type.bootS / ON_DEMAND_MACHINE_DIVISOR : 0;
  const freeGpus = type.gpus > 0 ? 1 - (machine.used.gpus + job.gpus) / type.gpus : 0;
  const freeCpus = type.cpus > 0 ? 1 - (machine.used.cpus + job.cpus) / type.cpus : 0;
  const unusedS = UNUSED_CAPACITY_S * Math.max(freeGpus, freeCpus);
  return fetchS + emptyMachineS + onDemandMachineS + unusedS;
}
