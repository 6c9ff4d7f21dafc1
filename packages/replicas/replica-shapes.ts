/** Determines which jobs have replicas of several members, and which of these replicas can never be placed. */
import { type ReplicaShape, typeFits, zoneCapacity } from '#core';
import { type Job, JOB_FIELD_NAMES, type MachineType } from '#wire';

/** The operators' settings for the replicas of a job class. */
export interface ReplicaClass {
  /** Number of tasks in one replica; `job`: all tasks of a job form one replica. */
  members: number | 'job';
  /** All members of one replica must be in the same zone. */
  sameZone: boolean;
}

/** Replica settings by name of the job class. */
export type ReplicaClasses = Readonly<Record<string, ReplicaClass>>;

/** Returns how the job's tasks form replicas, or null if each task is a replica by itself. */
export function replicaShapeOf(job: Job, classes: ReplicaClasses): ReplicaShape | null {
  if (job.kind !== 'service' || !Object.hasOwn(classes, job.class)) return null;
  const { members, sameZone } = classes[job.class];
  const count = members === 'job' ? job.tasks : members;
  return count > 1 ? { members: count, sameZone } : null;
}

/**
 * Returns why the job's replicas can never be placed, or null. An empty list of machine types means that the types are
 * not known yet.
 */
export function unplaceableReason(
  job: Job,
  { members, sameZone }: ReplicaShape,
  types: MachineType[],
): string | null {
  if (job.tasks % members !== 0) {
    return `${JOB_FIELD_NAMES.tasks}: ${job.tasks} tasks are no whole number of replicas of ${members} members`;
  }
  const oneZone = sameZone || job.oneZone;
  const zones = oneZone ? 1 : usableZones(job, types);
  if (types.length === 0 || zones * zoneCapacity(job) >= members) return null;
  const where = oneZone ? 'the one zone of a replica' : `${zones} zones with allowed machine types`;
  return `${JOB_FIELD_NAMES.spread}: ${where} may not hold the ${members} members of a replica`;
}

function usableZones(job: Job, types: MachineType[]): number {
  const zones = types.filter((type) => typeFits(job, type)).flatMap((type) => type.zones);
  return new Set(zones.filter((zone) => job.zone === null || job.zone === zone)).size;
}
