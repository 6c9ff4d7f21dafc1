/**
 * What a task requires of a machine: its type, zone and kind, the amounts that must be free, and the zones
 * in which other tasks of its job may be.
 */
import type { Job, MachineType } from '#wire';
import { type Amounts, ROUNDING } from '../model/amounts.js';
import { assignmentsOf, JobState } from '../model/entities.js';

/** A kind of machine, as the cloud offers it. */
export interface MachineKind {
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** Whether a task of the job could ever run on a machine of this type. */
export function typeFits(job: Job, type: MachineType): boolean {
  return (
    (job.types === null || job.types.includes(type.name)) &&
    (job.zone === null || type.zones.includes(job.zone)) &&
    job.cpus <= type.cpus + ROUNDING &&
    job.gpus <= type.gpus + ROUNDING &&
    job.memory <= type.memory + ROUNDING
  );
}

/**
 * Whether the job allows machines of this type and zone, and spot machines if this is one. Its other tasks
 * don't count here. The protocol calls any other machine a wrong place.
 */
export function kindAllowed(job: Job, type: MachineType, zone: string, spot: boolean): boolean {
  return (!spot || job.spot) && (job.zone === null || job.zone === zone) && typeFits(job, type);
}

/** Whether the machine type has capacity for one more task of the job in addition to what is used. */
export function hasCapacity(job: Job, used: Readonly<Amounts>, type: MachineType): boolean {
  return (
    used.cpus + job.cpus <= type.cpus + ROUNDING &&
    used.gpus + job.gpus <= type.gpus + ROUNDING &&
    used.memory + job.memory <= type.memory + ROUNDING
  );
}

/** For how many tasks of the job there is capacity in addition to what is used; Infinity if they need nothing. */
export function taskCapacity(job: Job, used: Readonly<Amounts>, type: MachineType): number {
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
  return need > 0 ? Math.floor((free + ROUNDING) / need) : Infinity;
}

/** Most tasks of the job that one zone may hold. */
export function zoneCapacity(job: Job): number {
  return job.spread ? Math.ceil(job.tasks / 2) : job.tasks;
}

/** Whether the zones of a job's other tasks bound where one more may go. */
export function hasZoneConstraint(job: Job): boolean {
  return job.spread || job.oneZone;
}

/** Where a job's tasks are, old attempts included until they are proven gone. */
export function tasksByZone(job: JobState): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { machine } of assignmentsOf(job)) {
    counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
  }
  return counts;
}

/** Where a job's tasks are, as far as that bounds where one more may go; empty if it does not. */
export function constrainingTasksByZone(job: JobState): Map<string, number> {
  return hasZoneConstraint(job.spec) ? tasksByZone(job) : new Map<string, number>();
}

/** Whether one more task of the job may go to the zone, given where its other tasks are. */
export function zoneAllowed(job: Job, zone: string, counts: Map<string, number>): boolean {
  if (job.zone !== null && job.zone !== zone) return false;
  if (job.oneZone) {
    for (const [other, count] of counts) if (count > 0 && other !== zone) return false;
  }
  return (counts.get(zone) ?? 0) < zoneCapacity(job);
}

/** Equal for jobs with the same constraints on the type, zone and kind of machine. */
export function constraintsKey(job: Job): string {
  const types = job.types === null ? '*' : job.types.join(',');
  return `${types} ${job.zone ?? '*'} ${String(job.spot)}`;
}

/** Equal for jobs whose tasks need the same amounts under the same constraints. */
export function requirementsKey(job: Job): string {
  return `${job.cpus} ${job.gpus} ${job.memory} ${constraintsKey(job)}`;
}
