/** The replica groups of one job. */
import type {
  Assignment,
  JobReplicas,
  JobState,
  AssignmentOrigin,
  ReplicaShape,
  TaskEnd,
} from '#core';
import { ReplicaGroup } from './replica-group.js';
import {
  type EndReason,
  type GroupEvent,
  type MemberRef,
  mayBePlaced,
  mayStart,
} from './group-state-machine.js';

/** Operations on the groups of all jobs that the groups of one job call. */
export interface GroupCoordinator {
  /** A group is about to get its first place. */
  groupAdded(group: ReplicaGroup): void;
  /** Applies an event to a group, reports a change of its phase, and stops members as the new state requires. */
  apply(group: ReplicaGroup, event: GroupEvent, now: number): void;
  /** Ends the whole generation of a group. */
  endGeneration(group: ReplicaGroup, reason: EndReason, now: number): void;
  /** Moves a group off a machine that the cloud will reclaim. */
  moveOff(group: ReplicaGroup, now: number): void;
  /** Whether the replica may start now; the number of replicas under repair that start together is limited. */
  mayStartRepair(group: ReplicaGroup): boolean;
  /** The job was done or cancelled; some of its tasks may still have to stop. */
  jobClosed(job: JobState, groups: JobReplicaGroups): void;
}

/** The replica groups of one job. A group has no object in memory until it gets its first place. */
export class JobReplicaGroups implements JobReplicas {
  readonly members: number;
  readonly sameZone: boolean;
  private readonly groups = new Map<number, ReplicaGroup>();
  /** Groups that lost all their places, so that their replicas wait to be placed again. */
  private readonly withoutPlaces = new Set<ReplicaGroup>();
  /** All groups below this index had a place; the search for groups that never had one starts here. */
  private firstNeverPlaced = 0;
  private closed = false;

  constructor(
    private readonly job: JobState,
    shape: ReplicaShape,
    private readonly coordinator: GroupCoordinator,
  ) {
    this.members = shape.members;
    this.sameZone = shape.sameZone;
  }

  private get replicaCount(): number {
    return Math.floor(this.job.spec.tasks / this.members);
  }

  /** Number of groups that never had a place. */
  get neverPlacedCount(): number {
    return this.replicaCount - this.groups.size;
  }

  /** Groups that have or had places. */
  everPlaced(): IterableIterator<ReplicaGroup> {
    return this.groups.values();
  }

  memberAssigned(assignment: Assignment, origin: AssignmentOrigin, now: number): void {
    if (this.closed) return;
    const group = this.findOrCreateGroup(assignment.index, now);
    const beginsGeneration = mayBePlaced(group.state);
    this.coordinator.apply(group, { kind: origin, ...this.refOf(assignment) }, now);
    this.withoutPlaces.delete(group);
    if (beginsGeneration) group.placedAt = now;
  }

  memberRecorded(assignment: Assignment, now: number): void {
    this.applyEvent('recorded', assignment, now);
  }

  memberRunning(assignment: Assignment, now: number): void {
    this.applyEvent('running', assignment, now);
  }

  memberStopping(assignment: Assignment, now: number): void {
    this.applyEvent('stopping', assignment, now);
  }

  memberEnded(assignment: Assignment, cause: TaskEnd['cause'], now: number): void {
    if (this.closed) return;
    const group = this.findOrCreateGroup(assignment.index, now);
    if (cause !== 'stopped') group.lastLossCause = cause;
    this.coordinator.apply(group, { kind: 'gone', ...this.refOf(assignment) }, now);
    if (mayBePlaced(group.state)) this.withoutPlaces.add(group);
  }

  mayStart({ index, attempt }: Assignment): boolean {
    const group = this.groups.get(this.replicaIndexOf(index));
    return group !== undefined && mayStart(group.state, attempt);
  }

  preempt(assignment: Assignment, now: number): void {
    this.coordinator.endGeneration(this.findOrCreateGroup(assignment.index, now), 'preempted', now);
  }

  moveOff(assignment: Assignment, now: number): void {
    this.coordinator.moveOff(this.findOrCreateGroup(assignment.index, now), now);
  }

  assignmentsOfReplica({ index, attempt }: Assignment): Assignment[] {
    const group = this.groups.get(this.replicaIndexOf(index));
    return group ? [...group.assignments()].filter((each) => each.attempt === attempt) : [];
  }

  waitingReplicas(limit: number, now: number): number[] {
    const indices: number[] = [];
    for (const group of this.withoutPlaces) {
      if (indices.length === limit) return indices;
      if (group.backoffUntil <= now && this.coordinator.mayStartRepair(group))
        indices.push(group.index);
    }
    while (this.firstNeverPlaced < this.replicaCount && this.groups.has(this.firstNeverPlaced))
      this.firstNeverPlaced++;
    for (
      let index = this.firstNeverPlaced;
      index < this.replicaCount && indices.length < limit;
      index++
    ) {
      if (!this.groups.has(index)) indices.push(index);
    }
    return indices;
  }

  jobClosed(): void {
    this.closed = true;
    this.coordinator.jobClosed(this.job, this);
  }

  private applyEvent(
    kind: 'recorded' | 'running' | 'stopping',
    assignment: Assignment,
    now: number,
  ): void {
    if (this.closed) return;
    const group = this.findOrCreateGroup(assignment.index, now);
    this.coordinator.apply(group, { kind, ...this.refOf(assignment) }, now);
  }

  private findOrCreateGroup(taskIndex: number, now: number): ReplicaGroup {
    const index = this.replicaIndexOf(taskIndex);
    let group = this.groups.get(index);
    if (!group) {
      group = new ReplicaGroup(this.job, index, this.members, now);
      this.groups.set(index, group);
      this.coordinator.groupAdded(group);
    }
    return group;
  }

  private replicaIndexOf(taskIndex: number): number {
    return Math.floor(taskIndex / this.members);
  }

  private refOf({ index, attempt }: Assignment): MemberRef {
    return { member: index % this.members, generation: attempt };
  }
}
