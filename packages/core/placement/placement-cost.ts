/** Cost of placing a task on a machine, in seconds; the machine of lowest cost is chosen. */
import type { Job, MachineType } from '#wire';
import type { Machine } from '../model/entities.js';

/** Placing a task on an empty machine costs the boot time of its type divided by this number. */
const EMPTY_MACHINE_DIVISOR = 6;
/** For tasks that may use spot machines, on-demand machines cost the boot time divided by this number. */
const ON_DEMAND_MACHINE_DIVISOR = 4;
/** Placing the first best-effort task on a machine costs the boot time divided by this number. */
const FIRST_BEST_EFFORT_DIVISOR = 3;
/** Most seconds that free capacity adds to `placementCost`, and processors in use to `spareCapacityCost`. */
const UNUSED_CAPACITY_S = 2;
/** Cost in seconds of each task that the class already has in the zone, for jobs that spread over zones. */
export const SPREAD_TASK_COST_S = 1 / 4;

/** Seconds that a task would wait for its image on the machine; images that are being fetched delay it. */
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
 * Returns the cost for a best-effort task without accelerators. It is low on machines that are likely to
 * stay, namely on-demand machines whose accelerators are in use. It is also low on machines that already
 * run best-effort tasks, so that short tasks change few machine records.
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
 * Returns the cost for any other task. It counts the wait for the image in full. Empty machines cost more,
 * since they are kept for gangs, and so do on-demand machines for tasks that may use spot machines. Among
 * machines that are otherwise equal, the one that is packed most tightly costs least.
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
