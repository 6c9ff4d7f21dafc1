/** One scheduling round: places waiting tasks, and remembers which requirements found no capacity. */
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

/** Number of tasks of a job that are placed in one turn. The job then queues again behind the others. */
const TASKS_PER_TURN = 8;

/** Places waiting tasks at the time `now` (seconds of the monotonic clock). An instance serves one round. */
export class PlacementRound {
  private readonly candidates: PlacementCandidates;
  private readonly blocked = new BlockedShapes();
  /** Number of machines with capacity held for a job when the round began, by job. */
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

  /** Whether the job is left out: it backs off, may start no task now, or its requirements found no capacity. */
  isSkipped(job: JobState): boolean {
    return (
      job.backoffUntil > this.now ||
      this.fleet.failures.maxStartableTasks(job) === 0 ||
      this.isBlocked(job)
    );
  }

  /** Whether not even the bucket's smallest task can be placed, for lack of capacity or by its team's limit. */
  canPlaceNone({ representative, minAmounts }: WaitingBucket): boolean {
    if (representative.kind === 'gang') return false;
    return (
      !this.shares.withinLimit(representative.team, minAmounts) ||
      !this.candidates.anyCapacityFor(representative, minAmounts)
    );
  }

  /** Places one turn of the job's waiting tasks, as far as there is capacity; returns how many. */
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

  /** Places waiting replicas, each with all of its members or not at all; returns how many tasks. */
  private placeReplicas(job: JobState, replicas: JobReplicas): number {
    const { members } = replicas;
    if (this.isBlocked(job) || this.fleet.failures.maxStartableTasks(job) === 0) return 0;
    const request = { tasks: members, oneZone: needsOneZone(job) };
    let placed = 0;
    for (const replica of replicas.waitingReplicas(Math.ceil(TASKS_PER_TURN / members), this.now)) {
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

  /** Places all of the request's tasks, from `firstIndex` on, in one attempt, or none; returns how many. */
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

  /** Whether the job's requirements have found no capacity in this round, and no capacity is held for it. */
  private isBlocked(job: JobState): boolean {
    if (job.spec.kind === 'gang' || this.holdsByJob.has(job)) return false;
    return this.blocked.has(job.spec, job.rank, this.accessOf(job));
  }

  private accessOf(job: JobState): CapacityAccess {
    if (!job.isBestEffort) return 'firm';
    return mayUseAnyCapacity(this.fleet, job, this.now) ? 'starved' : 'best-effort';
  }
}
