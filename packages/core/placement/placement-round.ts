/** One scheduling round: places the jobs whose turn comes, and remembers what found no capacity. */
import { mayUseAnyCapacity } from '../fair-share/best-effort.js';
import type { FairShares } from '../fair-share/fair-shares.js';
import type { WaitingBucket } from '../fair-share/waiting-bucket.js';
import type { FleetState } from '../fleet-state.js';
import type { JobReplicas, JobState } from '../model/entities.js';
import { needsOneZone } from '../model/replica-groups.js';
import { constrainingTasksByZone } from './task-requirements.js';
import { BlockedShapes, type CapacityAccess, mayBlockShape } from './blocked-shapes.js';
import { chooseMachine } from './choose-machine.js';
import { chooseMachinesTogether, type JointRequest } from './choose-machines-together.js';
import type { GangReservations } from './gang-reservations.js';
import { PlacementCandidates } from './placement-candidates.js';

/** Tasks that a job is given at once before it queues again behind the others. */
const TASKS_PER_TURN = 8;

/** Places waiting jobs at one moment, `now` (seconds of the steady clock), and is then thrown away. */
export class PlacementRound {
  private readonly candidates: PlacementCandidates;
  private readonly blocked = new BlockedShapes();
  /** Jobs for which capacity was held when the round began. */
  private readonly holdsByJob: ReadonlyMap<JobState, number>;

  constructor(
    private readonly fleet: FleetState,
    private readonly shares: FairShares,
    private readonly reservations: GangReservations,
    private readonly decisionsPerRound: number,
    readonly now: number,
  ) {
    this.candidates = new PlacementCandidates(fleet, now);
    this.holdsByJob = fleet.holds.machineCountByJob(now);
  }

  /** Whether the job need not be tried: it backs off, is probed enough, or fails like one before it. */
  isSkipped(job: JobState): boolean {
    return (
      job.backoffUntil > this.now ||
      this.fleet.failures.maxStartableTasks(job) === 0 ||
      this.isBlocked(job)
    );
  }

  /** Whether not even the bucket's smallest task could be placed: no capacity, or its team is at its limit. */
  canPlaceNone({ sample, minAmounts }: WaitingBucket): boolean {
    if (sample.kind === 'gang') return false;
    return (
      !this.shares.withinLimit(sample.team, minAmounts) ||
      !this.candidates.anyCapacityFor(sample, minAmounts)
    );
  }

  /** Gives the job's waiting tasks machines while there is capacity, a turn's worth; returns how many. */
  placeTurn(job: JobState): number {
    if (job.spec.kind === 'gang') return this.placeGang(job);
    if (job.replicas !== null) return this.placeReplicas(job, job.replicas);
    return this.placeTasks(job);
  }

  private placeTasks(job: JobState): number {
    const { assignments, failures, jobs } = this.fleet;
    if (this.isBlocked(job)) return 0;
    const startable = Math.min(TASKS_PER_TURN, failures.maxStartableTasks(job));
    const limit = Math.min(startable, this.decisionsPerRound);
    const zones = constrainingTasksByZone(job);
    let placed = 0;
    for (const index of jobs.waitingTasks(job, limit)) {
      if (!this.shares.withinLimit(job.spec.team, job.spec)) break;
      const machine = chooseMachine(this.fleet, job, zones, this.candidates, this.now);
      if (!machine) {
        if (mayBlockShape(job)) this.blocked.add(job.spec, job.rank, this.accessOf(job));
        break;
      }
      assignments.assign(job, index, machine, assignments.newAttempt(), this.now);
      zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
      placed++;
    }
    return placed;
  }

  /** A replica gets machines for all of its members or for none. */
  private placeReplicas(job: JobState, replicas: JobReplicas): number {
    const { members } = replicas;
    if (this.isBlocked(job) || this.fleet.failures.maxStartableTasks(job) === 0) return 0;
    const request = { tasks: members, oneZone: needsOneZone(job) };
    let placed = 0;
    for (const replica of replicas.waiting(Math.ceil(TASKS_PER_TURN / members), this.now)) {
      const placedNow = this.placeTogether(job, request, replica * members);
      if (placedNow === 0) break;
      placed += placedNow;
    }
    return placed;
  }

  private placeGang(job: JobState): number {
    if (job.assignments.size > 0) return 0;
    const { tasks, oneZone } = job.spec;
    const placed = this.placeTogether(job, { tasks, oneZone }, 0);
    if (placed > 0) this.reservations.release(job.spec.id);
    return placed;
  }

  /** Places all of the tasks from index `first` in one attempt, or none; returns how many. */
  private placeTogether(job: JobState, request: JointRequest, firstIndex: number): number {
    const { fleet, candidates, now } = this;
    const { assignments } = fleet;
    if (!this.shares.allowsTasks(job.spec, request.tasks)) return 0;
    const machines = chooseMachinesTogether(fleet, job, request, candidates, now);
    if (!machines) return 0;
    const attempt = assignments.newAttempt();
    machines.forEach((machine, i) =>
      assignments.assign(job, firstIndex + i, machine, attempt, now),
    );
    return machines.length;
  }

  /** Tasks that need as much as one that found no capacity fail alike, unless some is held for the job. */
  private isBlocked(job: JobState): boolean {
    if (job.spec.kind === 'gang' || this.holdsByJob.has(job)) return false;
    return this.blocked.has(job.spec, job.rank, this.accessOf(job));
  }

  private accessOf(job: JobState): CapacityAccess {
    if (!job.isBestEffort) return 'firm';
    return mayUseAnyCapacity(this.fleet, job, this.now) ? 'starved' : 'best-effort';
  }
}
