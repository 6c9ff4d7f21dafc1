/**
 * What the core asks of services whose replicas have several members each. The package `replicas` implements it, which
 * is loaded only if operators have switched it on (docs/replica-groups.md).
 */
import type { JobReplicas, JobState } from './entities.js';
import type { ReplicaShape } from './replica-shape.js';

/** Makes the replicas of a job of that shape. */
export type MakeReplicas = (job: JobState, shape: ReplicaShape) => JobReplicas;

/** Members of each replica of the job; 1 if its tasks are by themselves. */
export function membersOf({ replicas }: Pick<JobState, 'replicas'>): number {
  return replicas?.members ?? 1;
}

/** Whether what gets places together of the job, a gang or the members of one replica, must be in one zone. */
export function needsOneZone({ spec, replicas }: Pick<JobState, 'spec' | 'replicas'>): boolean {
  return spec.oneZone || (replicas?.sameZone ?? false);
}
