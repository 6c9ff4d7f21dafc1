/**
 * What a task requires of a machine: a type, a zone, spot or on-demand, and free amounts. Jobs that
 * spread over zones or stay in one also depend on the zones of their other tasks.
 */
import type { Job, MachineType } from '#wire';
import { type Resources, ROUNDING_TOLERANCE } from '../model/resources.js';
import { assignmentsOf, JobState } from '../model/entities.js';

/** A machine type in one zone, as spot or on-demand machines: what the cloud offers. */
export interface MachineKind {
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** Whether a task of the job can run on an empty machine of this type in a zone that the job allows. */
export function typeFits(job: Job, type: MachineType): boolean {
  return (
    (job.types === null || job.types.includes(type.name)) &&
    (job.zone === null || type.zones.includes(job.zone)) &&
    job.cpus <= type.cpus + ROUNDING_TOLERANCE &&
    job.gpus <= type.gpus + ROUNDING_TOLERANCE &&
    job.memory <= type.memory + ROUNDING_TOLERANCE
  );
}

/**
 * Whether the job allows machines of this type and zone, and spot machines if `spot` is true. The zones of
 * the job's other tasks are not considered. The protocol forbids tasks of the job on machines that are not allowed.
 */
export function kindAllowed(job: Job, type: MachineType, zone: string, spot: boolean): boolean {
  return (!spot || job.spot) && (job.zone === null || job.zone === zone) && typeFits(job, type);
}

/** Whether the machine type has capacity for one more task of the job in addition to what is used. */
export function hasCapacity(job: Job, used: Readonly<Resources>, type: MachineType): boolean {
  return (
    used.cpus + job.cpus <= type.cpus + ROUNDING_TOLERANCE &&
    used.gpus + job.gpus <= type.gpus + ROUNDING_TOLERANCE &&
    used.memory + job.memory <= type.memory + ROUNDING_TOLERANCE
  );
}

/** Number of further tasks of the job that the machine type has capacity for; Infinity if they need nothing. */
export function taskCapacity(job: Job, used: Readonly<Resources>, type: MachineType): number {
  return Math.max(
    0,
    Math.min(
      wholeUnits(type.cpus - used.cpus, job.cpus),
      wholeUnits(type.gpus - used.gpus, job.gpus),
      wholeUnits(type.memory - used.memory, job.memory),
    ),
  );
}

function wholeUnits(free: number, need: number): number {
  return need > 0 ? Math.floor((free + ROUNDING_TOLERANCE) / need) : Infinity;
}

/** Maximum number of the job's tasks in one zone. */
export function zoneCapacity(job: Job): number {
  return job.spread ? Math.ceil(job.tasks / 2) : job.tasks;
}

/** Whether the zones of a job's tasks limit where its further tasks can be placed. */
export function dependsOnTaskZones(job: Job): boolean {
  return job.spread || job.oneZone;
}

/** Counts the job's tasks by zone, including earlier attempts until they are proven to have ended. */
export function tasksByZone(job: JobState): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { machine } of assignmentsOf(job)) {
    counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
  }
  return counts;
}

/** Counts the job's tasks by zone if these zones limit its further tasks; empty otherwise. */
export function constrainingTasksByZone(job: JobState): Map<string, number> {
  return dependsOnTaskZones(job.spec) ? tasksByZone(job) : new Map<string, number>();
}

/** Whether a further task of the job may be placed in the zone; `counts` holds the job's tasks by zone. */
export function zoneAllowed(job: Job, zone: string, counts: Map<string, number>): boolean {
  if (job.zone !== null && job.zone !== zone) return false;
  if (job.oneZone) {
    for (const [other, count] of counts) if (count > 0 && other !== zone) return false;
  }
  return (counts.get(zone) ?? 0) < zoneCapacity(job);
}

/** Key that is equal for jobs with the same constraints on machine type, zone and spot machines. */
export function constraintsKey(job: Job): string {
  const types = job.types === null ? '*' : job.types.join(',');
  return `${types} ${job.zone ?? '*'} ${String(job.spot)}`;
}

/** Key that is equal for jobs whose tasks need the same amounts under the same constraints. */
export function requirementsKey(job: Job): string {
  return `${job.cpus} ${job.gpus} ${job.memory} ${constraintsKey(job)}`;
}
