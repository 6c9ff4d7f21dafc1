/** Preemption: stops tasks so that waiting jobs of higher precedence can start, on a few machines in each round. */
import type { FairShares } from '../fair-share/fair-shares.js';
import type { WaitingBucket } from '../fair-share/waiting-bucket.js';
import { iterateByRankAndAge } from '../fair-share/waiting-order.js';
import type { FleetState } from '../fleet-state.js';
import type { JobState, Machine } from '../model/entities.js';
import { membersOf } from '../model/replica-groups.js';
import { BlockedShapes, type CapacityAccess, mayBlockShape } from '../placement/blocked-shapes.js';
import { HOLD_HEARTBEATS } from './capacity-holds.js';
import { type PreemptionSettings, PreemptionRules } from './preemption-rules.js';
import { type Victims, VictimSelector } from './victim-selection.js';

/** The most machines on which tasks are preempted in one round. */
const MACHINES_PER_ROUND = 4;

/** The data of one preemption round. */
interface PreemptionRound {
  readonly now: number;
  /** Whether any best-effort task is assigned to a machine. */
  readonly anyBestEffort: boolean;
  /** Machines with a task that is being stopped. */
  readonly stopping: Set<Machine>;
  /** For each job, the number of machines on which capacity is held for it. */
  readonly heldMachines: Map<JobState, number>;
  /** For each bucket, the task shapes for which no victims were found. */
  readonly blocked: Map<WaitingBucket, BlockedShapes>;
}

/**
 * Frees capacity for waiting jobs by preempting tasks. This is allowed only where the rules of the platform need an
 * exception to leases; `PreemptionRules` defines these cases and how long a job must have waited. The freed capacity
 * is held for the job that it was freed for. No capacity is freed for gangs.
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

  /** Preempts tasks for waiting jobs, in order of rank and then of age. */
  run(now: number): void {
    const { jobs } = this.fleet;
    const buckets = [...jobs.waiting.buckets()].filter((each) => this.rules.mayPreemptAny(each));
    if (buckets.length === 0) return;
    const round = this.beginRound(buckets, now);
    let machines = 0;
    for (const job of iterateByRankAndAge(buckets, (bucket) => this.isBlocked(bucket, round))) {
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

  /** Whether no victims were found for the bucket's smallest task, or the team's limit allows no more tasks. */
  private isBlocked(bucket: WaitingBucket, { blocked }: PreemptionRound): boolean {
    const { representative, rank, minAmounts } = bucket;
    const isShapeBlocked =
      blocked.get(bucket)?.has(representative, rank, 'firm', minAmounts) ?? false;
    return isShapeBlocked || !this.shares.withinLimit(representative.team, minAmounts);
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

  /** Whether there may be tasks to preempt: best-effort ones, or others once the job has waited long enough. */
  private mayPreemptNow(job: JobState, { anyBestEffort, now }: PreemptionRound): boolean {
    return anyBestEffort || this.rules.mayPreemptFirmWork(job, now);
  }

  /** Whether no victims were found for another job that needs no more than this one and may preempt as much. */
  private isShapeBlocked(job: JobState, round: PreemptionRound): boolean {
    const blocked = this.blockedShapesOf(job, round);
    if (blocked === undefined) return false;
    return (
      blocked.has(job.spec, job.rank, 'firm') ||
      blocked.has(job.spec, job.rank, this.accessOf(job, round.now))
    );
  }

  /**
   * Whether capacity is already held for all waiting tasks of the job. Preempted tasks take a moment to end, and
   * nothing more is preempted for the job meanwhile.
   */
  private isCapacityComingFree(job: JobState, { heldMachines }: PreemptionRound): boolean {
    return (heldMachines.get(job) ?? 0) >= this.fleet.jobs.waitingCount(job);
  }

  /** Whether one more task of the job, or one more replica with all its members, would exceed its team's limit. */
  private wouldExceedLimit(job: JobState): boolean {
    return !this.shares.allowsTasks(job.spec, membersOf(job));
  }

  /** Records that no victims were found, so that the search is not repeated for later jobs that need as much. */
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

  /** Stops the victims on one machine and holds the machine's capacity for the job while the victims end. */
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
