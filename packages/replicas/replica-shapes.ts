/** Which jobs have replicas of several members, and which of these replicas can never be placed. */
import { type ReplicaShape, typeFits, zoneCapacity } from '#core';
import { type Job, JOB_FIELDS, type MachineType } from '#wire';

/** What operators configure for the replicas of a class. */
export interface ReplicaClass {
  /** Tasks of one replica; `job`: all tasks of the job are one replica. */
  members: number | 'job';
  /** All members of one replica must be in the same zone. */
  sameZone: boolean;
}

/** By name of the class. */
export type ReplicaClasses = Readonly<Record<string, ReplicaClass>>;

/** How the job's tasks form replicas; null if each task is a replica. */
export function replicaShapeOf(job: Job, classes: ReplicaClasses): ReplicaShape | null {
  if (job.kind !== 'service' || !Object.hasOwn(classes, job.class)) return null;
  const { members, sameZone } = classes[job.class];
  const count = members === 'job' ? job.tasks : members;
  return count > 1 ? { members: count, sameZone } : null;
}

/** Why the job's replicas can never be placed, or null; an empty list of machine types means that none is known yet. */
export function unplaceableReason(
  job: Job,
  { members, sameZone }: ReplicaShape,
  types: MachineType[],
): string | null {
  if (job.tasks % members !== 0) {
    return `${JOB_FIELDS.tasks}: ${job.tasks} tasks are no whole number of replicas of ${members} members`;
  }
  const oneZone = sameZone || job.oneZone;
  const zones = oneZone ? 1 : usableZones(job, types);
  if (types.length === 0 || zones * zoneCapacity(job) >= members) return null;
  const where = oneZone ? 'the one zone of a replica' : `${zones} zones with allowed machine types`;
  return `${JOB_FIELDS.spread}: ${where} may not hold the ${members} members of a replica`;
}

function usableZones(job: Job, types: MachineType[]): number {
  const zones = types.filter((type) => typeFits(job, type)).flatMap((type) => type.zones);
  return new Set(zones.filter((zone) => job.zone === null || job.zone === zone)).size;
}
