import type { Job, MachineType } from '#wire';
import type { Machine } from './model.js';

/** Parts of the type's boot time: the price of breaking up an empty machine is one of six, */
const WHOLE_MACHINE_PARTS = 6;
/** and that of an ordinary machine for a task that may run on a spot machine one of four. */
const ORDINARY_MACHINE_PARTS = 4;
/** Seconds that an otherwise empty machine costs more than one that gets full. */
const LOOSE_FIT_S = 2;
/** Seconds for each task of the class in the zone, for classes that spread. */
export const CROWDED_ZONE_S = 1 / 4;

/** Seconds that a task would wait for its image on this machine. */
export function fetchTime(job: Job, machine: Machine, type: MachineType): number {
  if (machine.images.has(job.image)) return 0;
  const others = new Set<string>();
  for (const { reported, job: other } of machine.tasks.values()) {
    if (reported === 'fetching' || reported === null) others.add(other.spec.image);
  }
  return (job.imageGb / type.fetchGbPerS) * (1 + others.size);
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
