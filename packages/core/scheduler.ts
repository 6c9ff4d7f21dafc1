import { chooseGangMachines } from './choose-gang-machines.js';
import { chooseMachine } from './choose-machine.js';
import type { Amounts } from './amounts.js';
import type { TeamQuota } from './team-quota.js';
import { tasksByZone } from './fit.js';
import type { FleetState } from './fleet-state.js';
import { GangReservations } from './gang-reservations.js';
import { jobsByPrecedence, placementKey, queuesByTeam, TeamQueue } from './job-queues.js';
import type { JobState } from './model.js';
import { PlacementCandidates } from './placement-candidates.js';
import { Preemption, PreemptionSettings } from './preemption.js';
import { TeamShares } from './team-shares.js';

/** Tasks that a job is given at once before it queues again behind the others. */
const TASKS_PER_TURN = 8;

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
  roomHeldFor: Map<JobState, number>;
  /** Placement keys of tasks that found no place. */
  unplaceable: Set<string>;
}

/** Decides which waiting tasks get which machines, and what is stopped for them. */
export class Scheduler {
  /** Machines kept free for gangs; to be updated before a round. */
  readonly reservations: GangReservations;
  private readonly shares: TeamShares;
  private readonly preemption: Preemption;

  constructor(
    private readonly fleet: FleetState,
    teams: Map<string, TeamQuota>,
    private readonly settings: ScheduleSettings,
  ) {
    this.shares = new TeamShares(fleet, teams, settings.floorWeight);
    this.reservations = new GangReservations(fleet);
    this.preemption = new Preemption(fleet, this.shares, settings);
  }

  /** Decayed service over guarantee; the team with the lowest index is served first. */
  index(team: string, now: number): number {
    return this.shares.index(team, now);
  }

  /** One round of decisions. Returns how many tasks were given a place. */
  round(now: number): number {
    const round: Round = {
      now,
      candidates: new PlacementCandidates(this.fleet, now),
      roomHeldFor: this.fleet.holds.machinesByJob(now),
      unplaceable: new Set(),
    };
    let decided = 0;
    // Work that others would have to be stopped for goes first, so that nothing is started only to
    // be stopped again; among equals the design's order decides.
    for (const tier of jobsByPrecedence(this.fleet, this.shares, now)) {
      decided += this.placeTier(tier, this.settings.decisionsPerRound - decided, round);
    }
    this.preemption.run(now);
    return decided;
  }

  /** Gives places to jobs of equal precedence, `limit` or a turn more at the most; returns how many. */
  private placeTier(jobs: JobState[], limit: number, round: Round): number {
    const queues = queuesByTeam(jobs, round.now);
    let decided = 0;
    while (decided < limit && queues.length > 0) {
      this.sortByIndex(queues, round.now);
      const queue = queues[0];
      const job = queue.jobs[0];
      const placed = this.placeJob(job, round);
      decided += placed;
      if (placed === 0 || this.fleet.jobs.waitingCount(job) === 0) queue.jobs.shift();
      if (queue.jobs.length === 0) queues.shift();
    }
    return decided;
  }

  /** Each placement changes the service rates, so the order is looked at anew each time. */
  private sortByIndex(queues: TeamQueue[], now: number): void {
    if (queues.length < 2) return;
    queues.sort((a, b) => this.index(a.team, now) - this.index(b.team, now));
  }

  /** Gives places to the job's waiting tasks while they fit; returns how many. */
  private placeJob(job: JobState, round: Round): number {
    if (!this.shares.isKnown(job.spec.team)) return 0;
    return job.spec.kind === 'gang' ? this.placeGang(job, round) : this.placeTasks(job, round);
  }

  private placeGang(job: JobState, { candidates, now }: Round): number {
    const { assignments, failures } = this.fleet;
    if (failures.startableTasks(job) === 0) return 0;
    if (job.assignments.size > 0 || !this.shares.withinLimit(job.spec.team, wholeGang(job)))
      return 0;
    const machines = chooseGangMachines(this.fleet, job, candidates, now);
    if (!machines) return 0;
    const attempt = assignments.newAttempt();
    machines.forEach((machine, index) => assignments.assign(job, index, machine, attempt, now));
    this.reservations.release(job.spec.id);
    return machines.length;
  }

  private placeTasks(job: JobState, round: Round): number {
    const { candidates, roomHeldFor, unplaceable, now } = round;
    const { assignments, failures, jobs } = this.fleet;
    // Tasks of the same key fail alike within a round, unless room was made for just this job.
    if (unplaceable.has(placementKey(job)) && !roomHeldFor.has(job)) return 0;
    const startable = Math.min(TASKS_PER_TURN, failures.startableTasks(job));
    const limit = Math.min(startable, this.settings.decisionsPerRound);
    const zones = tasksByZone(job);
    let placed = 0;
    for (const index of jobs.waitingTasks(job, limit)) {
      if (!this.shares.withinLimit(job.spec.team, job.spec)) break;
      const machine = chooseMachine(this.fleet, job, zones, candidates, now);
      if (!machine) {
        unplaceable.add(placementKey(job));
        break;
      }
      assignments.assign(job, index, machine, assignments.newAttempt(), now);
      zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
      placed++;
    }
    return placed;
  }
}

/** What limits count of a gang: its processors and accelerators. */
function wholeGang({ spec: { cpus, gpus, tasks } }: JobState): Amounts {
  return { cpus: cpus * tasks, gpus: gpus * tasks, memory: 0 };
}
