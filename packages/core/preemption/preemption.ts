import { addAmounts, multipliedAmounts } from '../model/amounts.js';
import { chooseMachinesTogether } from '../placement/choose-machines-together.js';
import { firmUse } from '../fair-share/best-effort.js';
import { hasCapacity, kindAllowed, tasksByZone, zoneAllowed } from '../placement/bin-packing.js';
import type { FleetState } from '../fleet-state.js';
import { BlockedKind, BlockedShapes } from '../placement/blocked-shapes.js';
import { speaksForOthers } from '../fair-share/job-queues.js';
import { Assignment, assignmentsOf, JobState, Machine } from '../model/model.js';
import { isPastStartWindow, lostWork, wholeReplicas } from './preemption-cost.js';
import { PlacementCandidates } from '../placement/placement-candidates.js';
import { membersOf, needsOneZone } from '../model/replica-groups.js';
import { HOLD_HEARTBEATS } from './capacity-holds.js';
import type { FairShares } from '../fair-share/fair-shares.js';
import type { WaitingBucket } from '../fair-share/waiting-bucket.js';
import { oldestFirst } from '../fair-share/waiting-order.js';

/** Tasks that room is made for in one round at the most. */
const TASKS_PER_ROUND = 4;

/** When work may stop other work. */
export interface PreemptionSettings {
  /** Waiting time, in seconds, after which work may stop other work. */
  preemptAfterS: number;
  /** Seconds that a gang runs before another team may stop it. */
  gangLeaseS: number;
  /** A gang may be stopped at its lease end below this ratio of indexes. */
  stopThreshold: number;
}

/** Work to be stopped on one machine. */
interface Victims {
  machine: Machine;
  assignments: Assignment[];
  /** Work that is lost by stopping them. */
  cost: number;
}

/**
 * The exceptions to leases that the rules need: work of higher rank, and work within its team's
 * guarantee, may stop other work when it has waited; and gangs at their lease end give way to a team
 * that is far behind. No work is stopped for its own rank or a lower one otherwise. Room for gangs is
 * not made.
 */
export class Preemption {
  constructor(
    private readonly fleet: FleetState,
    private readonly shares: FairShares,
    private readonly settings: PreemptionSettings,
  ) {}

  /** Makes room for some tasks that have waited long enough. */
  run(now: number): void {
    const buckets = [...this.fleet.jobs.waiting.buckets()].filter((each) => this.mayStopAny(each));
    if (buckets.length === 0) return;
    const anyBestEffort = this.fleet.usage.groups().some(({ isBestEffort }) => isBestEffort);
    const stopping = new Set(this.fleet.machines.groups.stopping);
    const heldCapacity = this.fleet.holds.machinesByJob(now);
    const failed = new Map(buckets.map((bucket) => [bucket, new BlockedShapes()]));
    const isOver = (bucket: WaitingBucket) =>
      failed.get(bucket)!.has(bucket.sample, bucket.rank, 'firm', bucket.least) ||
      !this.shares.withinLimit(bucket.sample.team, bucket.least);
    let made = 0;
    for (const job of oldestFirst(buckets, isOver)) {
      if (made >= TASKS_PER_ROUND) break;
      const mayPreemptFirmWork = this.mayPreemptFirmWork(job, now);
      if (job.backoffUntil > now || !(anyBestEffort || mayPreemptFirmWork)) continue;
      if (!this.fleet.failures.mayRequestCapacity(job, now)) continue;
      const failedAlike = failed.get(this.fleet.jobs.waiting.bucket(job)!)!;
      const mayStop: BlockedKind = mayPreemptFirmWork ? 'firm' : 'best-effort';
      if (failedAlike.has(job.spec, job.rank, 'firm')) continue;
      if (failedAlike.has(job.spec, job.rank, mayStop)) continue;
      // Room that is being made takes a moment to come free; no more is stopped for it meanwhile.
      if ((heldCapacity.get(job) ?? 0) >= this.fleet.jobs.waitingCount(job)) continue;
      const members = membersOf(job);
      if (!this.shares.withinLimit(job.spec.team, multipliedAmounts(job.spec, members))) continue;
      const victims = this.victimsFor(job, heldCapacity.get(job) ?? 0, stopping, now);
      if (victims) {
        for (const each of victims) {
          stopping.add(each.machine);
          this.preempt(job, each, heldCapacity, now);
        }
        made += victims.length;
      } else if (speaksForOthers(job)) failedAlike.add(job.spec, job.rank, mayStop);
    }
  }

  /** Best-effort work is stopped at once, other work for what has waited. */
  private mayPreemptFirmWork({ waitingSince }: JobState, now: number): boolean {
    return now - waitingSince >= this.settings.preemptAfterS;
  }

  /** Whether anything runs that jobs of the bucket may stop, wherever it is. */
  private mayStopAny({ sample, rank, least, isBestEffort }: WaitingBucket): boolean {
    const { kind, team } = sample;
    if (kind === 'gang' || isBestEffort) return false;
    const withinGuarantee = this.shares.guaranteeNow(team)(least);
    return this.fleet.usage.groups().some((group) => {
      if (group.isBestEffort || group.rank > rank) return true;
      if (group.team === team) return false;
      const isGangOfSameRank = group.isGang && group.rank === rank;
      return isGangOfSameRank || (withinGuarantee && this.shares.isBorrowing(group.team));
    });
  }

  /**
   * What must be stopped for a task of the job, or for all members of a replica that have neither free nor `held` room,
   * on a machine for each; null if not all find room.
   */
  private victimsFor(
    job: JobState,
    held: number,
    stopping: ReadonlySet<Machine>,
    now: number,
  ): Victims[] | null {
    const passedOver = new Set(stopping);
    const found: Victims[] = [];
    const free = this.freeForMembers(job, now);
    let zone = job.replicas?.sameZone ? (free.at(0)?.zone ?? null) : null;
    const lacking = membersOf(job) - held - free.length;
    for (let left = Math.max(1, lacking); left > 0; left--) {
      const victims = this.cheapestVictims(job, passedOver, zone, now);
      if (victims === null) return null;
      if (job.replicas?.sameZone) zone = victims.machine.zone;
      passedOver.add(victims.machine);
      found.push(victims);
    }
    return found;
  }

  /** Machines with room for as many members of a replica as there is room for; none for other jobs. */
  private freeForMembers(job: JobState, now: number): Machine[] {
    if (job.replicas === null) return [];
    const candidates = new PlacementCandidates(this.fleet, now);
    for (let tasks = job.replicas.members - 1; tasks > 0; tasks--) {
      const request = { tasks, oneZone: needsOneZone(job) };
      const machines = chooseMachinesTogether(this.fleet, job, request, candidates, now);
      if (machines !== null) return machines;
    }
    return [];
  }

  /** The machine where room for the job costs least, and what must be stopped there; null if none. */
  private cheapestVictims(
    job: JobState,
    stopping: ReadonlySet<Machine>,
    zone: string | null,
    now: number,
  ): Victims | null {
    const zones = tasksByZone(job);
    let best: Victims | null = null;
    for (const machine of this.fleet.machines.values()) {
      if (machine.state !== 'up' || machine.draining || machine.reclaimAt !== null) continue;
      if (zone !== null && machine.zone !== zone) continue;
      if (stopping.has(machine) || this.fleet.holds.isHeldFromJob(machine, job, now)) continue;
      if (machine.reservedForGang !== null || !zoneAllowed(job.spec, machine.zone, zones)) continue;
      if (this.fleet.failures.isExcluded(job, machine, now)) continue;
      const assignments = this.victimsOn(machine, job, now);
      if (assignments === null) continue;
      const cost = wholeReplicas(assignments).reduce((sum, each) => sum + lostWork(each, now), 0);
      if (best === null || cost < best.cost) best = { machine, assignments, cost };
    }
    return best;
  }

  /** What must be stopped on the machine for one task of the job, or null if that makes no room. */
  private victimsOn(machine: Machine, job: JobState, now: number): Assignment[] | null {
    const type = this.fleet.machines.typeOf(machine);
    if (!type || !kindAllowed(job.spec, type, machine.zone, machine.spot)) return null;
    if (!this.mayPreemptFirmWork(job, now) && !hasCapacity(job.spec, firmUse(machine), type))
      return null;
    const options = [...machine.tasks.values()].filter(
      (each) => each.stop === null && this.isOption(each, job, now),
    );
    if (options.length === 0) return null;
    options.sort((a, b) => b.job.rank - a.job.rank || b.assignedAt - a.assignedAt);
    const victims: Assignment[] = [];
    const used = { ...machine.used };
    for (const option of options) {
      if (hasCapacity(job.spec, used, type)) break;
      addAmounts(used, option.job.spec, -1);
      victims.push(option);
    }
    return victims.length > 0 && hasCapacity(job.spec, used, type) ? victims : null;
  }

  private isOption(each: Assignment, job: JobState, now: number): boolean {
    if (each.job.isBestEffort) return true;
    if (!this.mayPreemptFirmWork(job, now) || !isPastStartWindow(each, job, now)) return false;
    return this.mayStop(job, each, now);
  }

  private mayStop(forJob: JobState, { job: victim }: Assignment, now: number): boolean {
    const otherTeam = victim.spec.team !== forJob.spec.team;
    if (
      otherTeam &&
      this.shares.withinGuarantee(forJob.spec) &&
      this.shares.isBorrowing(victim.spec.team)
    ) {
      return true;
    }
    if (victim.rank !== forJob.rank) return victim.rank > forJob.rank;
    return otherTeam && victim.spec.kind === 'gang' && this.isFarBehind(forJob, victim, now);
  }

  /** The design's own stop: a gang's lease has ended and a team that waits is far behind. */
  private isFarBehind(forJob: JobState, gang: JobState, now: number): boolean {
    const { gangLeaseS, stopThreshold } = this.settings;
    const startedAt = Math.min(
      ...[...assignmentsOf(gang)].map(({ runningSince }) => runningSince ?? now),
    );
    if (now - startedAt < gangLeaseS) return false;
    const gangIndex = this.shares.index(gang.spec.team, now);
    return this.shares.index(forJob.spec.team, now) < stopThreshold * gangIndex;
  }

  private preempt(
    job: JobState,
    { machine, assignments }: Victims,
    heldCapacity: Map<JobState, number>,
    now: number,
  ): void {
    const { holds, settings } = this.fleet;
    const { checkpointS, saveS } = job.spec;
    const graceS = checkpointS > 0 ? saveS : 0;
    const before = machine.capacityHold?.job;
    if (before) heldCapacity.set(before, (heldCapacity.get(before) ?? 1) - 1);
    holds.hold(
      machine,
      job,
      now + HOLD_HEARTBEATS * settings.heartbeatIntervalS + graceS + settings.gangPeerS,
    );
    for (const each of assignments) {
      if (each.job.replicas === null) this.fleet.assignments.stopGracefully(each, now);
      else each.job.replicas.preempt(each, now);
    }
  }
}
