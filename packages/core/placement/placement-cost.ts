import type { Job, MachineType } from '#wire';
import type { Machine } from '../model/model.js';

/** Parts of the type's boot time: the price of breaking up an empty machine is one of six, */
const WHOLE_MACHINE_PARTS = 6;
/** and that of an ordinary machine for a task that may run on a spot machine one of four. */
const ORDINARY_MACHINE_PARTS = 4;
/** and that of the first best-effort task on a machine one of three. */
const FIRST_BEST_EFFORT_PARTS = 3;
/** Seconds that an otherwise empty machine costs more than one that gets full. */
const LOOSE_FIT_S = 2;
/** Seconds for each task of the class in the zone, for classes that spread. */
export const CROWDED_ZONE_S = 1 / 4;

/** Seconds that a task would wait for its image on this machine. */
function fetchTime(job: Job, machine: Machine, type: MachineType): number {
  if (machine.images.has(job.image)) return 0;
  const others = new Set<string>();
  for (const { reportedState, job: other } of machine.tasks.values()) {
    if (reportedState === 'fetching' || reportedState === null) others.add(other.spec.image);
  }
  return (job.imageGb / type.fetchGbPerS) * (1 + others.size);
}

/**
 * Cost of a place for a best-effort task without accelerators: machines that are likely to stay, which are
 * ordinary ones whose accelerators are in use; of these few, so that few records change for short tasks.
 */
export function spareCapacityCost(job: Job, machine: Machine, type: MachineType): number {
  const { tasks, firmTasks, used, spot } = machine;
  const firstS = tasks.size === firmTasks ? type.bootS / FIRST_BEST_EFFORT_PARTS : 0;
  const idleGpus = type.gpus > 0 ? 1 - used.gpus / type.gpus : 0;
  const unsteadyS = type.bootS * (idleGpus + (spot ? 1 : 0));
  const usedShare = type.cpus > 0 ? used.cpus / type.cpus : 0;
  return fetchTime(job, machine, type) + firstS + unsteadyS + LOOSE_FIT_S * usedShare;
}

/**
 * Cost of a place in seconds-like units, lower is better: waiting for the image counts as it is; an
 * empty machine is worth keeping whole for gangs; work that may use spot machines should; else the
 * tightest fit wins.
 */
export function placementCost(job: Job, machine: Machine, type: MachineType): number {
  const fetchS = fetchTime(job, machine, type);
  const wholeBrokenS = machine.tasks.size === 0 ? type.bootS / WHOLE_MACHINE_PARTS : 0;
  const ordinaryTakenS = job.spot && !machine.spot ? type.bootS / ORDINARY_MACHINE_PARTS : 0;
  const freeGpus = type.gpus > 0 ? 1 - (machine.used.gpus + job.gpus) / type.gpus : 0;
  const freeCpus = type.cpus > 0 ? 1 - (machine.used.cpus + job.cpus) / type.cpus : 0;
  return fetchS + wholeBrokenS + ordinaryTakenS + LOOSE_FIT_S * Math.max(freeGpus, freeCpus);
}
