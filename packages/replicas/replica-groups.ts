/** The replica groups of all jobs in the fleet of one leader. */
import type { Assignment, FleetState, JobReplicas, JobState, Random, ReplicaShape } from '#core';
import type { EndReason, GroupEvent, GroupPhase, MemberRef } from './group-state-machine.js';
import { type GroupCoordinator, JobReplicaGroups } from './job-replica-groups.js';
import { ReplicaCapacity } from './replica-capacity.js';
import type { ReplicaGroup, PhaseChange } from './replica-group.js';
import { backoffS, maxConcurrentRepairs, startDeadlineS } from './start-limits.js';

const ZERO_PHASE_COUNTS: Record<GroupPhase, number> = {
  waiting: 0,
  reserved: 0,
  starting: 0,
  whole: 0,
  repairing: 0,
  moving: 0,
  stopping: 0,
};

/** A replica is whole again after a member of it was lost, or it was moved or stopped. */
export interface Recovery {
  group: ReplicaGroup;
  reason: EndReason;
  /** Seconds for which it was not whole. */
  tookS: number;
}

/** Receives the events of replica groups; listeners change nothing. */
export interface ReplicaListener {
  phaseChanged(change: PhaseChange, now: number): void;
  recovered(recovery: Recovery): void;
}

/** What replica groups need. */
export interface ReplicaGroupsOptions {
  /** Length of a worker lease; seconds. */
  leaseS: number;
  heartbeatIntervalS: number;
  random: Random;
  listener: ReplicaListener;
}

/** What the groups have of the fleet that they are attached to. */
interface AttachedFleet {
  fleet: FleetState;
  capacity: ReplicaCapacity;
}

/**
 * The replica groups of one leader's fleet. Work is done when something happens to a group, and in each round for
 * those that are starting; groups at rest cost nothing. Times are steady seconds.
 */
export class ReplicaGroups implements GroupCoordinator {
  private attached: AttachedFleet | null = null;
  private readonly groupsByJob = new Map<JobState, JobReplicaGroups>();
  /** Groups that have places and are neither whole nor ending. */
  private readonly starting = new Set<ReplicaGroup>();
  /** Those among them that were whole, or starting, before. */
  private readonly startingRepairs = new Set<ReplicaGroup>();
  private readonly phaseCounts = new Map<GroupPhase, number>();

  constructor(private readonly options: ReplicaGroupsOptions) {}

  /** To be called once, when the fleet state is made. */
  attach(fleet: FleetState): void {
    const capacity = new ReplicaCapacity(fleet, this.options.heartbeatIntervalS);
    this.attached = { fleet, capacity };
  }

  /** Makes the groups of a job. */
  make(job: JobState, shape: ReplicaShape): JobReplicas {
    const groups = new JobReplicaGroups(job, shape, this);
    this.groupsByJob.set(job, groups);
    return groups;
  }

  /** All records of earlier terms were loaded: adopts the replicas that are whole by them and ends all others. */
  loaded(now: number): void {
    for (const group of [...this.groups()]) this.apply(group, { kind: 'loaded' }, now);
  }

  /** Ends starts that missed their deadline; to be called in each round. */
  expireStarts(now: number): void {
    for (const group of [...this.starting]) {
      const { placedAt, failedStarts } = group;
      const fetchS = this.requireAttached().capacity.slowestFetchS(group);
      const deadlineS = startDeadlineS(this.options.leaseS, fetchS, failedStarts);
      if (now - placedAt > deadlineS) this.failStart(group, now);
    }
  }

  /** Groups that have or had places. */
  *groups(): Generator<ReplicaGroup> {
    for (const jobGroups of this.groupsByJob.values()) yield* jobGroups.everPlaced();
  }

  /** Number of groups by phase. */
  countByPhase(): Record<GroupPhase, number> {
    const counts = { ...ZERO_PHASE_COUNTS, ...Object.fromEntries(this.phaseCounts) };
    for (const jobGroups of this.groupsByJob.values()) counts.waiting += jobGroups.neverPlacedCount;
    return counts;
  }

  /** Counts a group that gets its first place. */
  groupAdded(group: ReplicaGroup): void {
    this.countPhase(group.phase, 1);
  }

  /** Applies an event to a group, and does what follows from it. */
  apply(group: ReplicaGroup, event: GroupEvent, now: number): void {
    const { stop, change } = group.apply(event, now);
    if (change !== null) this.observePhase(change, now);
    this.stopMembers(group, stop, now);
  }

  /** Ends the whole generation of a group. */
  endGeneration(group: ReplicaGroup, reason: EndReason, now: number): void {
    this.apply(group, { kind: 'end', reason }, now);
  }

  /** Moves a replica off a machine that the cloud takes back: once capacity is held elsewhere, or little time is left. */
  moveOff(group: ReplicaGroup, now: number): void {
    if (group.state.ending) return;
    const reclaimTimes = [...group.assignments()]
      .map(({ machine }) => machine.reclaimAt)
      .filter((reclaimAt) => reclaimAt !== null);
    const isUrgent = reclaimTimes.some((reclaimAt) => reclaimAt - now < this.options.leaseS);
    const { capacity } = this.requireAttached();
    const isCapacityHeld = capacity.holdForMembers(group, reclaimTimes.length, now);
    if (isCapacityHeld || isUrgent) this.endGeneration(group, 'notice', now);
  }

  /** Whether one more replica that is being repaired may start now; a first start always may. */
  mayStartRepair(group: ReplicaGroup): boolean {
    if (group.incompleteSince === null) return true;
    const { machines } = this.requireAttached().fleet;
    return this.startingRepairs.size < maxConcurrentRepairs(machines.size);
  }

  /** Forgets the groups of a job that is over for its user. */
  jobClosed(job: JobState, groups: JobReplicaGroups): void {
    this.groupsByJob.delete(job);
    for (const group of groups.everPlaced()) {
      this.starting.delete(group);
      this.startingRepairs.delete(group);
      this.countPhase(group.phase, -1);
    }
  }

  private observePhase(change: PhaseChange, now: number): void {
    const { group, from, to, reason } = change;
    this.countPhase(from, -1);
    this.countPhase(to, 1);
    const isStarting = to === 'reserved' || to === 'starting';
    setIncluded(this.starting, group, isStarting);
    setIncluded(this.startingRepairs, group, isStarting && group.incompleteSince !== null);
    if (to === 'whole') this.recordRecovery(group, reason, now);
    else if (!isStarting) group.incompleteSince ??= now;
    this.options.listener.phaseChanged(change, now);
  }

  private countPhase(phase: GroupPhase, by: 1 | -1): void {
    this.phaseCounts.set(phase, (this.phaseCounts.get(phase) ?? 0) + by);
  }

  private recordRecovery(group: ReplicaGroup, reason: EndReason | null, now: number): void {
    const { incompleteSince } = group;
    group.failedStarts = 0;
    group.incompleteSince = null;
    if (incompleteSince === null || reason === null) return;
    this.options.listener.recovered({ group, reason, tookS: now - incompleteSince });
  }

  private failStart(group: ReplicaGroup, now: number): void {
    const { leaseS, random } = this.options;
    group.failedStarts++;
    group.backoffUntil = now + backoffS(leaseS, group.failedStarts, random());
    this.endGeneration(group, 'start-deadline', now);
  }

  private stopMembers(group: ReplicaGroup, stop: MemberRef[], now: number): void {
    if (stop.length === 0) return;
    const isStopped = ({ index, attempt }: Assignment) =>
      stop.some(
        ({ member, generation }) => member === index % group.members && generation === attempt,
      );
    const { reason } = group.state;
    const restarts = reason === 'member-lost' || reason === 'notice';
    const stopped = [...group.assignments()].filter(isStopped);
    const { fleet, capacity } = this.requireAttached();
    if (restarts) capacity.holdForRestart(group, stopped, now);
    for (const each of stopped) fleet.assignments.stopGracefully(each, now);
  }

  private requireAttached(): AttachedFleet {
    if (this.attached === null) throw new Error('replica groups are not attached to a fleet');
    return this.attached;
  }
}

function setIncluded(groups: Set<ReplicaGroup>, group: ReplicaGroup, isIncluded: boolean): void {
  if (isIncluded) groups.add(group);
  else groups.delete(group);
}
