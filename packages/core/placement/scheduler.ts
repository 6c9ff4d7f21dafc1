import { chooseMachinesTogether } from './choose-machines-together.js';
import { chooseMachine } from './choose-machine.js';
import { multipliedAmounts } from '../model/amounts.js';
import type { TeamQuota } from '../fair-share/team-quota.js';
import { bindingZones } from './bin-packing.js';
import type { FleetState } from '../fleet-state.js';
import { GangReservations } from './gang-reservations.js';
import { mayUseAnyCapacity } from '../fair-share/best-effort.js';
import { BlockedShapes, type CapacityAccess, mayBlockShape } from './blocked-shapes.js';
import { queuesByPrecedence, TeamQueue, Tier } from '../fair-share/job-queues.js';
import type { JobState } from '../model/model.js';
import { type JobReplicas, needsOneZone } from '../model/replica-groups.js';
import { PlacementCandidates } from './placement-candidates.js';
import { Preemption } from '../preemption/preemption.js';
import type { PreemptionSettings } from '../preemption/preemption-rules.js';
import { FairShares } from '../fair-share/fair-shares.js';
import type { WaitingBucket } from '../fair-share/waiting-bucket.js';

/** Tasks that a job is given at once before it queues again behind the others. */
const TASKS_PER_TURN = 8;

/** Share of a round's decisions that may go to best-effort tasks. */
const BEST_EFFORT_SHARE = 1 / 10;

/** What operators may set of scheduling, and the size of a round. */
export interface ScheduleSettings extends PreemptionSettings {
  /** Share of the fleet that a team counts as having guaranteed at least. */
  floorWeight: number;
  /** Most decisions taken in one round. */
  decisionsPerRound: number;
}

/** What is found out in the course of one round. */
interface Round {
  now: number;
  candidates: PlacementCandidates;
  /** Jobs for which room is being made, when the round began. */
  capacityHeldFor: Map<JobState, number>;
  /** Tasks that found no place. */
  blocked: BlockedShapes;
}

/** Decides which waiting tasks get which machines, and what is stopped for them. */
export class Scheduler {
  /** Machines kept free for gangs; to be updated before a round. */
  readonly reservations: GangReservations;
  private readonly shares: FairShares;
  private readonly preemption: Preemption;

  constructor(
    private readonly fleet: FleetState,
    teams: Map<string, TeamQuota>,
    private readonly settings: ScheduleSettings,
  ) {
    this.shares = new FairShares(fleet, teams, settings.floorWeight);
    this.reservations = new GangReservations(fleet);
    this.preemption = new Preemption(fleet, this.shares, settings);
  }

  /** Decayed service over guarantee; the team with the lowest index is served first. */
  index(team: string, now: number): number {
    return this.shares.index(team, now);
  }

  /** One round of decisions. Returns how many tasks were given a place. */
  round(now: number): number {
    const decided = this.place(now);
    this.preemption.run(now);
    return decided;
  }

  /** Gives places to waiting tasks, as far as there is room; returns to how many. */
  place(now: number): number {
    const round: Round = {
      now,
      candidates: new PlacementCandidates(this.fleet, now),
      capacityHeldFor: this.fleet.holds.machinesByJob(now),
      blocked: new BlockedShapes(),
    };
    const isLeftOut = (job: JobState) =>
      job.backoffUntil > now ||
      this.fleet.failures.startableTasks(job) === 0 ||
      this.isBlocked(job, round);
    let decided = 0;
    // Work that others would have to be stopped for goes first, so that nothing is started only to
    // be stopped again; among equals the design's order decides.
    for (const tier of queuesByPrecedence(this.fleet, this.shares, isLeftOut, now)) {
      decided += this.placeTier(tier.queues, this.limitOf(tier, decided), round);
    }
    return decided;
  }

  /** Decisions left for the tier. Short best-effort tasks must not take up the owner's processor. */
  private limitOf({ isBestEffort }: Tier, decided: number): number {
    const { decisionsPerRound } = this.settings;
    const left = decisionsPerRound - decided;
    return isBestEffort ? Math.min(left, Math.ceil(decisionsPerRound * BEST_EFFORT_SHARE)) : left;
  }

  /** Gives places to jobs of equal precedence, `limit` or a turn more at the most; returns how many. */
  private placeTier(queues: TeamQueue[], limit: number, round: Round): number {
    let decided = 0;
    for (const queue of this.lowestIndexFirst(queues, round.now)) {
      for (let next = queue.peek(); next && decided < limit; next = queue.peek()) {
        const placed = this.placeJob(next.job, round);
        decided += placed;
        if (placed === 0 && this.isFullFor(next.bucket, round)) queue.drop(next.bucket);
        else if (placed === 0 || this.fleet.jobs.waitingCount(next.job) === 0) queue.advance();
      }
    }
    return decided;
  }

  /** What gets a place at a moment changes the indexes only after it. */
  private lowestIndexFirst(queues: TeamQueue[], now: number): TeamQueue[] {
    const index = new Map(queues.map(({ team }) => [team, this.index(team, now)]));
    return queues.sort(
      (a, b) => index.get(a.team)! - index.get(b.team)! || (a.team < b.team ? -1 : 1),
    );
  }

  /** Whether not even the smallest task of the bucket could get a place: no machine has room, or the team's limit is reached. */
  private isFullFor({ sample, minAmounts: least }: WaitingBucket, { candidates }: Round): boolean {
    if (sample.kind === 'gang') return false;
    return (
      !this.shares.withinLimit(sample.team, least) || !candidates.anyCapacityFor(sample, least)
    );
  }

  /** Gives places to the job's waiting tasks while they fit; returns how many. */
  private placeJob(job: JobState, round: Round): number {
    if (job.spec.kind === 'gang') return this.placeGang(job, round);
    if (job.replicas !== null) return this.placeReplicas(job, job.replicas, round);
    return this.placeTasks(job, round);
  }

  /** A replica gets places for all of its members or for none. */
  private placeReplicas(job: JobState, replicas: JobReplicas, round: Round): number {
    const { candidates, now } = round;
    const { assignments, failures } = this.fleet;
    const { members } = replicas;
    if (this.isBlocked(job, round) || failures.startableTasks(job) === 0) return 0;
    const request = { tasks: members, oneZone: needsOneZone(job) };
    let placed = 0;
    for (const replica of replicas.waiting(Math.ceil(TASKS_PER_TURN / members), now)) {
      if (!this.shares.withinLimit(job.spec.team, multipliedAmounts(job.spec, members))) break;
      const machines = chooseMachinesTogether(this.fleet, job, request, candidates, now);
      if (!machines) break;
      const generation = assignments.newAttempt();
      const first = replica * members;
      machines.forEach((machine, member) =>
        assignments.assign(job, first + member, machine, generation, now),
      );
      placed += members;
    }
    return placed;
  }

  private placeGang(job: JobState, { candidates, now }: Round): number {
    const { assignments } = this.fleet;
    const { tasks, oneZone } = job.spec;
    if (
      job.assignments.size > 0 ||
      !this.shares.withinLimit(job.spec.team, multipliedAmounts(job.spec, tasks))
    )
      return 0;
    const machines = chooseMachinesTogether(this.fleet, job, { tasks, oneZone }, candidates, now);
    if (!machines) return 0;
    const attempt = assignments.newAttempt();
    machines.forEach((machine, index) => assignments.assign(job, index, machine, attempt, now));
    this.reservations.release(job.spec.id);
    return machines.length;
  }

  private placeTasks(job: JobState, round: Round): number {
    const { candidates, blocked, now } = round;
    const { assignments, failures, jobs } = this.fleet;
    if (this.isBlocked(job, round)) return 0;
    const startable = Math.min(TASKS_PER_TURN, failures.startableTasks(job));
    const limit = Math.min(startable, this.settings.decisionsPerRound);
    const zones = bindingZones(job);
    let placed = 0;
    for (const index of jobs.waitingTasks(job, limit)) {
      if (!this.shares.withinLimit(job.spec.team, job.spec)) break;
      const machine = chooseMachine(this.fleet, job, zones, candidates, now);
      if (!machine) {
        if (mayBlockShape(job)) blocked.add(job.spec, job.rank, this.blockedKind(job, now));
        break;
      }
      assignments.assign(job, index, machine, assignments.newAttempt(), now);
      zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
      placed++;
    }
    return placed;
  }

  /** Tasks that need no less than one that found no place fail alike, unless room was made for just this job. */
  private isBlocked(job: JobState, { blocked, capacityHeldFor, now }: Round): boolean {
    if (job.spec.kind === 'gang' || capacityHeldFor.has(job)) return false;
    return blocked.has(job.spec, job.rank, this.blockedKind(job, now));
  }

  /** Where a best-effort job finds no room, firm work may, and so may such a job that has waited long. */
  private blockedKind(job: JobState, now: number): CapacityAccess {
    if (!job.isBestEffort) return 'firm';
    return mayUseAnyCapacity(this.fleet, job, now) ? 'starved' : 'best-effort';
  }
}
