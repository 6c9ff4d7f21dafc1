/**
 * How the core creates and queries replicas that have several members each. The package `replicas` implements them. The
 * package is loaded only if operators have switched it on (docs/replica-groups.md).
 */
import type { JobReplicas, JobState } from './entities.js';
import type { ReplicaShape } from './replica-shape.js';

/** Creates the replicas of a job from their shape. */
export type MakeReplicas = (job: JobState, shape: ReplicaShape) => JobReplicas;

/** Number of members of each replica of the job; 1 if its tasks run independently of each other. */
export function membersOf({ replicas }: Pick<JobState, 'replicas'>): number {
  return replicas?.members ?? 1;
}

/** Whether the job's tasks that are placed together, a gang or the members of one replica, must be in one zone. */
export function needsOneZone({ spec, replicas }: Pick<JobState, 'spec' | 'replicas'>): boolean {
  return spec.oneZone || (replicas?.sameZone ?? false);
}
