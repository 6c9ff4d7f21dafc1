import {
  type Assignment,
  chooseMachinesTogether,
  type FleetState,
  HOLD_HEARTBEATS,
  type JobReplicas,
  type JobState,
  type Machine,
  needsOneZone,
  PlacementCandidates,
  type Random,
  type ReplicaShape,
} from '#core';
import type { Group, PhaseChange } from './group.js';
import { backoffS, repairsAtOnce, startDeadlineS } from './group-limits.js';
import type { EndReason, GroupEvent, GroupPhase, MemberRef } from './group-machine.js';
import { JobReplicaGroups } from './job-replica-groups.js';

const NONE: Record<GroupPhase, number> = {
  waiting: 0,
  reserved: 0,
  starting: 0,
  whole: 0,
  repairing: 0,
  moving: 0,
  stopping: 0,
};

/** A replica has become whole after a member of it was lost, or it was moved or stopped. */
export interface Recovery {
  group: Group;
  reason: EndReason;
  /** Seconds for which it was not whole. */
  tookS: number;
}

/** What others may want to know when it happens; listeners change nothing. */
export interface ReplicaListener {
  phaseChanged(change: PhaseChange, now: number): void;
  recovered(recovery: Recovery): void;
}

export interface ReplicaGroupsOptions {
  leaseS: number;
  heartbeatIntervalS: number;
  random: Random;
  listener: ReplicaListener;
}

/**
 * The replica groups of one owner's fleet. Work is done when something happens to a group, and in each round for those
 * that are starting; groups at rest cost nothing.
 */
export class ReplicaGroups {
  private fleet: FleetState | null = null;
  private readonly jobs = new Map<JobState, JobReplicaGroups>();
  /** Groups that have places and are neither whole nor ending. */
  private readonly starting = new Set<Group>();
  /** Of these, the ones that were broken before. */
  private readonly repairsStarting = new Set<Group>();
  private readonly phases = new Map<GroupPhase, number>();

  constructor(private readonly options: ReplicaGroupsOptions) {}

  /** To be called once, when the fleet state is made. */
  attach(fleet: FleetState): void {
    this.fleet = fleet;
  }

  /** Makes the groups of a job. */
  make(job: JobState, shape: ReplicaShape): JobReplicas {
    const groups = new JobReplicaGroups(job, shape, this);
    this.jobs.set(job, groups);
    return groups;
  }

  /** All records of earlier terms were read: adopts the replicas that are whole by them and ends all others. */
  loaded(now: number): void {
    for (const group of [...this.groups()]) this.apply(group, { kind: 'loaded' }, now);
  }

  /** Gives up starts that take too long; to be called in each round. */
  expireStarts(now: number): void {
    for (const group of [...this.starting]) {
      const { placedAt, failedStarts } = group;
      const deadlineS = startDeadlineS(this.options.leaseS, this.fetchS(group), failedStarts);
      if (now - placedAt > deadlineS) this.giveUpStart(group, now);
    }
  }

  /** Groups that have or had places. */
  *groups(): Generator<Group> {
    for (const job of this.jobs.values()) yield* job.known();
  }

  /** Number of groups by phase. */
  countByPhase(): Record<GroupPhase, number> {
    const counts = { ...NONE, ...Object.fromEntries(this.phases) };
    for (const job of this.jobs.values()) counts.waiting += job.neverPlaced;
    return counts;
  }

  /** A group gets its first place. */
  groupAdded(group: Group): void {
    this.count(group.phase, 1);
  }

  /** Takes an event in and does what follows from it. */
  apply(group: Group, event: GroupEvent, now: number): void {
    const { stop, change } = group.apply(event, now);
    if (change !== null) this.phaseChanged(change, now);
    this.stopMembers(group, stop, now);
  }

  /** Ends the whole generation. */
  end(group: Group, reason: EndReason, now: number): void {
    this.apply(group, { kind: 'end', reason }, now);
  }

  /** Moves a replica of which a machine will be taken back: once there is room for it, or little time is left. */
  moveOff(group: Group, now: number): void {
    if (group.state.ending) return;
    const leaving = [...group.assignments()].filter(({ machine }) => machine.reclaimAt !== null);
    const isUrgent = leaving.some(({ machine }) => machine.reclaimAt! - now < this.options.leaseS);
    const isCapacityHeld = this.holdCapacity(group, leaving.length, now);
    if (isCapacityHeld || isUrgent) this.end(group, 'notice', now);
  }

  /** Whether one more replica that was broken may start now. */
  mayStartRepair(group: Group): boolean {
    if (group.brokenSince === null) return true;
    return this.repairsStarting.size < repairsAtOnce(this.requireFleet().machines.size);
  }

  jobClosed(job: JobState, groups: JobReplicaGroups): void {
    this.jobs.delete(job);
    for (const group of groups.known()) {
      this.starting.delete(group);
      this.repairsStarting.delete(group);
      this.count(group.phase, -1);
    }
  }

  private phaseChanged(change: PhaseChange, now: number): void {
    const { group, from, to, reason } = change;
    this.count(from, -1);
    this.count(to, 1);
    const isStarting = to === 'reserved' || to === 'starting';
    if (isStarting) this.starting.add(group);
    else this.starting.delete(group);
    if (isStarting && group.brokenSince !== null) this.repairsStarting.add(group);
    else this.repairsStarting.delete(group);
    if (to === 'whole') this.becameWhole(group, reason, now);
    else if (!isStarting) group.brokenSince ??= now;
    this.options.listener.phaseChanged(change, now);
  }

  private count(phase: GroupPhase, by: 1 | -1): void {
    this.phases.set(phase, (this.phases.get(phase) ?? 0) + by);
  }

  private becameWhole(group: Group, reason: EndReason | null, now: number): void {
    const { brokenSince } = group;
    group.failedStarts = 0;
    group.brokenSince = null;
    if (brokenSince === null || reason === null) return;
    this.options.listener.recovered({ group, reason, tookS: now - brokenSince });
  }

  private giveUpStart(group: Group, now: number): void {
    const { leaseS, random } = this.options;
    group.failedStarts++;
    group.notBefore = now + backoffS(leaseS, group.failedStarts, random());
    this.end(group, 'start-deadline', now);
  }

  private stopMembers(group: Group, stop: MemberRef[], now: number): void {
    if (stop.length === 0) return;
    const isStopped = ({ index, attempt }: Assignment) =>
      stop.some(
        ({ member, generation }) => member === index % group.members && generation === attempt,
      );
    const { reason } = group.state;
    const comesBack = reason === 'member-lost' || reason === 'notice';
    const stopped = [...group.assignments()].filter(isStopped);
    if (comesBack) this.holdForReturn(group, stopped, now);
    for (const each of stopped) this.requireFleet().assignments.stopGracefully(each, now);
  }

  /** Survivors have the image: their room is held until the replica starts anew, and room for the others if there is any. */
  private holdForReturn(group: Group, survivors: Assignment[], now: number): void {
    for (const { machine } of survivors) {
      if (machine.reclaimAt === null) this.hold(machine, group.job, now);
    }
    const lost = group.members - survivors.length;
    if (lost > 0) this.holdCapacity(group, lost, now);
  }

  /** Finds and holds room for so many members; false if there is none. */
  private holdCapacity(group: Group, members: number, now: number): boolean {
    const fleet = this.requireFleet();
    const candidates = new PlacementCandidates(fleet, now);
    const oneZone = needsOneZone(group.job);
    const request = { tasks: members, oneZone };
    const machines = chooseMachinesTogether(fleet, group.job, request, candidates, now);
    for (const machine of machines ?? []) this.hold(machine, group.job, now);
    return machines !== null;
  }

  private hold(machine: Machine, job: JobState, now: number): void {
    if (machine.capacityHold !== null) return;
    this.requireFleet().holds.hold(
      machine,
      job,
      now + HOLD_HEARTBEATS * this.options.heartbeatIntervalS,
    );
  }

  /** Nominal seconds of the slowest fetch of the replica's image. */
  private fetchS(group: Group): number {
    const { machines } = this.requireFleet();
    let slowest = 0;
    for (const { machine } of group.assignments()) {
      const rate = machines.typeOf(machine)?.fetchGbPerS;
      if (rate !== undefined) slowest = Math.max(slowest, group.job.spec.imageGb / rate);
    }
    return slowest;
  }

  private requireFleet(): FleetState {
    if (this.fleet === null) throw new Error('replica groups are not attached to a fleet');
    return this.fleet;
  }
}
