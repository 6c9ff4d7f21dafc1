/** Preemption: stops tasks for waiting jobs of higher precedence, on a few machines in each round. */
import type { FairShares } from '../fair-share/fair-shares.js';
import type { WaitingBucket } from '../fair-share/waiting-bucket.js';
import { oldestFirst } from '../fair-share/waiting-order.js';
import type { FleetState } from '../fleet-state.js';
import type { JobState, Machine } from '../model/entities.js';
import { membersOf } from '../model/replica-groups.js';
import { BlockedShapes, type CapacityAccess, mayBlockShape } from '../placement/blocked-shapes.js';
import { HOLD_HEARTBEATS } from './capacity-holds.js';
import { type PreemptionSettings, PreemptionRules } from './preemption-rules.js';
import { type Victims, VictimSelector } from './victim-selection.js';

/** Machines on which one round preempts tasks at the most. */
const MACHINES_PER_ROUND = 4;

/** What is found out in the course of one round. */
interface PreemptionRound {
  readonly now: number;
  /** Whether any best-effort task is assigned to a machine. */
  readonly anyBestEffort: boolean;
  /** Machines with a task that is being stopped. */
  readonly stopping: Set<Machine>;
  /** On how many machines capacity is held for a job. */
  readonly heldMachines: Map<JobState, number>;
  /** By bucket: what found no victims. */
  readonly blocked: Map<WaitingBucket, BlockedShapes>;
}

/**
 * Makes capacity for jobs that have waited long enough, by the exceptions to leases that the rules of
 * the platform need (`PreemptionRules`). The capacity is held for the job that it was made for. None
 * is made for gangs.
 */
export class Preemption {
  private readonly rules: PreemptionRules;
  private readonly selector: VictimSelector;

  constructor(
    private readonly fleet: FleetState,
    private readonly shares: FairShares,
    settings: PreemptionSettings,
  ) {
    this.rules = new PreemptionRules(fleet.usage, shares, settings);
    this.selector = new VictimSelector(fleet, this.rules);
  }

  /** Preempts for the waiting jobs of the highest rank, the oldest first. */
  run(now: number): void {
    const { jobs } = this.fleet;
    const buckets = [...jobs.waiting.buckets()].filter((each) => this.rules.mayPreemptAny(each));
    if (buckets.length === 0) return;
    const round = this.beginRound(buckets, now);
    let machines = 0;
    for (const job of oldestFirst(buckets, (bucket) => this.isBlocked(bucket, round))) {
      if (machines >= MACHINES_PER_ROUND) break;
      if (this.isSkipped(job, round)) continue;
      const held = round.heldMachines.get(job) ?? 0;
      const victims = this.selector.select(job, held, round.stopping, now);
      if (victims === null) this.recordBlocked(job, round);
      else {
        for (const each of victims) this.preempt(job, each, round);
        machines += victims.length;
      }
    }
  }

  private beginRound(buckets: WaitingBucket[], now: number): PreemptionRound {
    const { usage, machines, holds } = this.fleet;
    return {
      now,
      anyBestEffort: usage.groups().some(({ isBestEffort }) => isBestEffort),
      stopping: new Set(machines.groups.stopping),
      heldMachines: holds.machineCountByJob(now),
      blocked: new Map(buckets.map((bucket) => [bucket, new BlockedShapes()])),
    };
  }

  /** Whether not even the smallest task of the bucket finds victims, or its team's limit is reached. */
  private isBlocked(bucket: WaitingBucket, { blocked }: PreemptionRound): boolean {
    const { sample, rank, minAmounts } = bucket;
    const isShapeBlocked = blocked.get(bucket)?.has(sample, rank, 'firm', minAmounts) ?? false;
    return isShapeBlocked || !this.shares.withinLimit(sample.team, minAmounts);
  }

  /** Whether nothing is preempted for the job in this round. */
  private isSkipped(job: JobState, round: PreemptionRound): boolean {
    return (
      job.backoffUntil > round.now ||
      !this.mayPreemptNow(job, round) ||
      !this.fleet.failures.mayRequestCapacity(job, round.now) ||
      this.isShapeBlocked(job, round) ||
      this.isCapacityComingFree(job, round) ||
      this.wouldExceedLimit(job)
    );
  }

  /** Whether there may be anything to preempt: best-effort work, or firm work once the job has waited. */
  private mayPreemptNow(job: JobState, { anyBestEffort, now }: PreemptionRound): boolean {
    return anyBestEffort || this.rules.mayPreemptFirmWork(job, now);
  }

  /** Whether a job that needs no more, and that may preempt as much or more, has found no victims. */
  private isShapeBlocked(job: JobState, round: PreemptionRound): boolean {
    const blocked = this.blockedShapesOf(job, round);
    if (blocked === undefined) return false;
    return (
      blocked.has(job.spec, job.rank, 'firm') ||
      blocked.has(job.spec, job.rank, this.accessOf(job, round.now))
    );
  }

  /** Capacity that is being made takes a moment to come free; no more is made for the job meanwhile. */
  private isCapacityComingFree(job: JobState, { heldMachines }: PreemptionRound): boolean {
    return (heldMachines.get(job) ?? 0) >= this.fleet.jobs.waitingCount(job);
  }

  /** Whether one more task of the job, or one more replica with all members, exceeds its team's limit. */
  private wouldExceedLimit(job: JobState): boolean {
    return !this.shares.allowsTasks(job.spec, membersOf(job));
  }

  /** Spares the jobs after it that need as much the same search. */
  private recordBlocked(job: JobState, round: PreemptionRound): void {
    if (!mayBlockShape(job)) return;
    this.blockedShapesOf(job, round)?.add(job.spec, job.rank, this.accessOf(job, round.now));
  }

  private blockedShapesOf(job: JobState, { blocked }: PreemptionRound): BlockedShapes | undefined {
    const bucket = this.fleet.jobs.waiting.bucket(job);
    return bucket && blocked.get(bucket);
  }

  private accessOf(job: JobState, now: number): CapacityAccess {
    return this.rules.mayPreemptFirmWork(job, now) ? 'firm' : 'best-effort';
  }

  /** Stops the victims on one machine and holds the machine for the job until they have ended. */
  private preempt(
    job: JobState,
    victims: Victims,
    { stopping, heldMachines, now }: PreemptionRound,
  ): void {
    const { machine, assignments } = victims;
    stopping.add(machine);
    const formerJob = machine.capacityHold?.job;
    if (formerJob) heldMachines.set(formerJob, (heldMachines.get(formerJob) ?? 1) - 1);
    this.fleet.holds.hold(machine, job, this.holdUntil(job, now));
    for (const each of assignments) {
      if (each.job.replicas === null) this.fleet.assignments.stopGracefully(each, now);
      else each.job.replicas.preempt(each, now);
    }
  }

  private holdUntil({ spec }: JobState, now: number): number {
    const { heartbeatIntervalS, gangPeerS } = this.fleet.settings;
    const graceS = spec.checkpointS > 0 ? spec.saveS : 0;
    return now + HOLD_HEARTBEATS * heartbeatIntervalS + graceS + gangPeerS;
  }
}
