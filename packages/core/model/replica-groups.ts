/**
 * What the core asks of services whose replicas have several members each. The package `replicas` does it, which is
 * loaded only if operators have switched it on (docs/replica-groups.md).
 */
import type { TaskEnd } from './listener.js';
import type { Assignment, JobState } from './model.js';

/** How the tasks of a service form replicas: tasks 0 to `members` - 1 are the first. */
export interface ReplicaShape {
  members: number;
  /** All members of one replica must be in the same zone. */
  sameZone: boolean;
}

/** Where a member's place comes from. */
export type PlaceOrigin =
  /** Decided in this term. */
  | 'placed'
  /** Read from the records of an earlier term. */
  | 'inherited'
  /** Reported by a worker though no record names it; it is stopped. */
  | 'unrecorded';

/** The replicas of one job. All of a replica's members carry the same attempt, which is its generation. */
export interface JobReplicas extends Readonly<ReplicaShape> {
  /** A member has got a place. */
  placeAdded(assignment: Assignment, origin: PlaceOrigin, now: number): void;
  /** The place is durable in its machine's record. */
  placeRecorded(assignment: Assignment, now: number): void;
  /** The member is seen to run. */
  memberRunning(assignment: Assignment, now: number): void;
  /** The member's end was asked for. */
  memberStopping(assignment: Assignment, now: number): void;
  /** The member is proven gone. */
  placeEnded(assignment: Assignment, cause: TaskEnd['cause'], now: number): void;
  /** Whether the member's start may be sent. */
  mayStart(assignment: Assignment): boolean;
  /** Stops the whole replica that the assignment belongs to, for other work. */
  preempt(assignment: Assignment, now: number): void;
  /** The cloud will take the member's machine back: moves the whole replica, if it can be placed elsewhere or must go. */
  moveOff(assignment: Assignment, now: number): void;
  /** All places of the generation that the assignment belongs to. */
  placesWith(assignment: Assignment): Assignment[];
  /** Up to `limit` replicas without any place that may be given one now, by number. */
  waiting(limit: number, now: number): number[];
  /** The job is over for its user. */
  jobClosed(): void;
}

/** Members of each replica of the job; 1 if its tasks are by themselves. */
export function membersOf({ replicas }: Pick<JobState, 'replicas'>): number {
  return replicas?.members ?? 1;
}

/** Whether what gets places together of the job, a gang or the members of one replica, must be in one zone. */
export function needsOneZone({ spec, replicas }: Pick<JobState, 'spec' | 'replicas'>): boolean {
  return spec.oneZone || (replicas?.sameZone ?? false);
}

/** Makes the replicas of a job of that shape. */
export type MakeReplicas = (job: JobState, shape: ReplicaShape) => JobReplicas;
