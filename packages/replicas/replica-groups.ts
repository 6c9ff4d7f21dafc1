/** The replica groups of all jobs in one leader's fleet. */
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

/** A replica became whole again after a member was lost, or after the replica was moved or stopped. */
export interface Recovery {
  group: ReplicaGroup;
  reason: EndReason;
  /** Seconds for which the replica was not whole. */
  tookS: number;
}

/** Receives the events of replica groups. Listeners must not change the groups or the fleet. */
export interface ReplicaListener {
  phaseChanged(change: PhaseChange, now: number): void;
  recovered(recovery: Recovery): void;
}

/** Settings and dependencies of replica groups. */
export interface ReplicaGroupsOptions {
  /** Duration of a worker lease, in seconds. */
  leaseS: number;
  heartbeatIntervalS: number;
  random: Random;
  listener: ReplicaListener;
}

/** The fleet that the groups are attached to, and its capacity for replicas. */
interface AttachedFleet {
  fleet: FleetState;
  capacity: ReplicaCapacity;
}

/**
 * The replica groups of one leader's fleet. A group costs processor time at each of its events, and in each scheduling
 * round while it is starting. Other groups cost nothing. Times are seconds of the monotonic clock.
 */
export class ReplicaGroups implements GroupCoordinator {
  private attached: AttachedFleet | null = null;
  private readonly groupsByJob = new Map<JobState, JobReplicaGroups>();
  /** Groups in the phases `reserved` and `starting`. */
  private readonly starting = new Set<ReplicaGroup>();
  /** Groups of `starting` that are under repair: a generation ended, and none has been whole since. */
  private readonly startingRepairs = new Set<ReplicaGroup>();
  private readonly phaseCounts = new Map<GroupPhase, number>();

  constructor(private readonly options: ReplicaGroupsOptions) {}

  /** Attaches the groups to their fleet. Must be called once, when the fleet state is created. */
  attach(fleet: FleetState): void {
    const capacity = new ReplicaCapacity(fleet, this.options.heartbeatIntervalS);
    this.attached = { fleet, capacity };
  }

  /** Creates and registers the groups of a job. */
  createJobGroups(job: JobState, shape: ReplicaShape): JobReplicas {
    const groups = new JobReplicaGroups(job, shape, this);
    this.groupsByJob.set(job, groups);
    return groups;
  }

  /**
   * Must be called when all records of earlier terms have been loaded. Adopts the replicas whose members are all named by
   * the records, and ends all others.
   */
  recordsLoaded(now: number): void {
    for (const group of [...this.groups()]) this.apply(group, { kind: 'loaded' }, now);
  }

  /** Ends starts that missed their deadline. Must be called in each scheduling round. */
  expireStarts(now: number): void {
    for (const group of [...this.starting]) {
      const { placedAt, failedStarts } = group;
      const fetchS = this.requireAttached().capacity.slowestFetchS(group);
      const deadlineS = startDeadlineS(this.options.leaseS, fetchS, failedStarts);
      if (now - placedAt > deadlineS) this.failStart(group, now);
    }
  }

  /** Yields the groups that have or had places. */
  *groups(): Generator<ReplicaGroup> {
    for (const jobGroups of this.groupsByJob.values()) yield* jobGroups.everPlaced();
  }

  /** Returns the number of groups by phase. */
  countByPhase(): Record<GroupPhase, number> {
    const counts = { ...ZERO_PHASE_COUNTS, ...Object.fromEntries(this.phaseCounts) };
    for (const jobGroups of this.groupsByJob.values()) counts.waiting += jobGroups.neverPlacedCount;
    return counts;
  }

  /** Counts a group that is about to get its first place. */
  groupAdded(group: ReplicaGroup): void {
    this.countPhase(group.phase, 1);
  }

  /** Applies an event to a group, reports a change of its phase, and stops members as the new state requires. */
  apply(group: ReplicaGroup, event: GroupEvent, now: number): void {
    const { stop, change } = group.apply(event, now);
    if (change !== null) this.observePhase(change, now);
    this.stopMembers(group, stop, now);
  }

  /** Ends the whole generation of a group. */
  endGeneration(group: ReplicaGroup, reason: EndReason, now: number): void {
    this.apply(group, { kind: 'end', reason }, now);
  }

  /**
   * Moves a replica off machines that the cloud will reclaim. The generation ends once capacity is held elsewhere, or
   * when less than a worker lease is left.
   */
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

  /** Whether the replica may start now. Replicas under repair are limited in number; a first start is always allowed. */
  mayStartRepair(group: ReplicaGroup): boolean {
    if (group.incompleteSince === null) return true;
    const { machines } = this.requireAttached().fleet;
    return this.startingRepairs.size < maxConcurrentRepairs(machines.size);
  }

  /** Removes the groups of a job that was done or cancelled; some of its tasks may still have to stop. */
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
