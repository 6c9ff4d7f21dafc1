import type { Assignment, JobReplicas, JobState, PlaceOrigin, ReplicaShape, TaskEnd } from '#core';
import { Group } from './group.js';
import { type MemberRef, mayBePlaced, mayStart } from './group-machine.js';
import type { ReplicaGroups } from './replica-groups.js';

/** The replica groups of one job. Groups that never had a place are not held one by one. */
export class JobReplicaGroups implements JobReplicas {
  readonly members: number;
  readonly sameZone: boolean;
  private readonly groups = new Map<number, Group>();
  /** Groups that had places once and have none now. */
  private readonly returned = new Set<Group>();
  /** All groups from here on never had a place. */
  private nextFresh = 0;
  private closed = false;

  constructor(
    private readonly job: JobState,
    shape: ReplicaShape,
    private readonly registry: ReplicaGroups,
  ) {
    this.members = shape.members;
    this.sameZone = shape.sameZone;
  }

  private get size(): number {
    return Math.floor(this.job.spec.tasks / this.members);
  }

  /** Groups that never had a place. */
  get neverPlaced(): number {
    return this.size - this.groups.size;
  }

  /** Groups that have or had places. */
  known(): IterableIterator<Group> {
    return this.groups.values();
  }

  placeAdded(assignment: Assignment, origin: PlaceOrigin, now: number): void {
    if (this.closed) return;
    const group = this.groupOf(assignment.index, now);
    const isFirst = mayBePlaced(group.state);
    this.registry.apply(group, { kind: origin, ...this.refOf(assignment) }, now);
    this.returned.delete(group);
    if (isFirst) group.placedAt = now;
  }

  placeRecorded(assignment: Assignment, now: number): void {
    this.note('recorded', assignment, now);
  }

  memberRunning(assignment: Assignment, now: number): void {
    this.note('running', assignment, now);
  }

  memberStopping(assignment: Assignment, now: number): void {
    this.note('stopping', assignment, now);
  }

  placeEnded(assignment: Assignment, cause: TaskEnd['cause'], now: number): void {
    if (this.closed) return;
    const group = this.groupOf(assignment.index, now);
    if (cause !== 'stopped') group.lostBy = cause;
    this.registry.apply(group, { kind: 'gone', ...this.refOf(assignment) }, now);
    if (mayBePlaced(group.state)) this.returned.add(group);
  }

  mayStart({ index, attempt }: Assignment): boolean {
    const group = this.groups.get(this.replicaOf(index));
    return group !== undefined && mayStart(group.state, attempt);
  }

  preempt(assignment: Assignment, now: number): void {
    this.registry.end(this.groupOf(assignment.index, now), 'preempted', now);
  }

  moveOff(assignment: Assignment, now: number): void {
    this.registry.moveOff(this.groupOf(assignment.index, now), now);
  }

  placesWith({ index, attempt }: Assignment): Assignment[] {
    const group = this.groups.get(this.replicaOf(index));
    return group ? [...group.assignments()].filter((each) => each.attempt === attempt) : [];
  }

  waiting(limit: number, now: number): number[] {
    const found: number[] = [];
    for (const group of this.returned) {
      if (found.length === limit) return found;
      if (group.notBefore <= now && this.registry.mayStartRepair(group)) found.push(group.index);
    }
    while (this.nextFresh < this.size && this.groups.has(this.nextFresh)) this.nextFresh++;
    for (let index = this.nextFresh; index < this.size && found.length < limit; index++) {
      if (!this.groups.has(index)) found.push(index);
    }
    return found;
  }

  jobClosed(): void {
    this.closed = true;
    this.registry.jobClosed(this.job, this);
  }

  private note(
    kind: 'recorded' | 'running' | 'stopping',
    assignment: Assignment,
    now: number,
  ): void {
    if (this.closed) return;
    const group = this.groupOf(assignment.index, now);
    this.registry.apply(group, { kind, ...this.refOf(assignment) }, now);
  }

  private groupOf(taskIndex: number, now: number): Group {
    const index = this.replicaOf(taskIndex);
    let group = this.groups.get(index);
    if (!group) {
      group = new Group(this.job, index, this.members, now);
      this.groups.set(index, group);
      this.registry.groupAdded(group);
    }
    return group;
  }

  private replicaOf(taskIndex: number): number {
    return Math.floor(taskIndex / this.members);
  }

  private refOf({ index, attempt }: Assignment): MemberRef {
    return { member: index % this.members, generation: attempt };
  }
}
