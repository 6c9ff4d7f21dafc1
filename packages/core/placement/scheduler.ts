/** The scheduler: in rounds, assigns machines to waiting tasks and preempts tasks for those that still wait. */
import { FairShares } from '../fair-share/fair-shares.js';
import { type PrecedenceTier, precedenceTiers } from '../fair-share/precedence-tiers.js';
import type { TeamQueue } from '../fair-share/team-queue.js';
import type { TeamQuota } from '../fair-share/team-quota.js';
import type { FleetState } from '../fleet-state.js';
import type { PreemptionSettings } from '../preemption/preemption-rules.js';
import { Preemption } from '../preemption/preemption.js';
import { GangReservations } from './gang-reservations.js';
import { PlacementRound } from './placement-round.js';

/** Share of a round's decisions that may go to best-effort tasks. */
const BEST_EFFORT_SHARE = 1 / 10;

/** Scheduling settings of the operators, and the size of a round. */
export interface ScheduleSettings extends PreemptionSettings {
  /** Least share of the fleet that counts as a team's guarantee in its fair-share index. */
  floorWeight: number;
  /** Number of placed tasks after which a round begins no further turn. */
  decisionsPerRound: number;
}

/** Decides which machines waiting tasks are assigned to, and which tasks are preempted for them. */
export class Scheduler {
  /** Machines kept free for gangs; the caller updates the reservations before a round. */
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

  /** The team's fair-share index; the team with the lowest index is served first. */
  index(team: string, now: number): number {
    return this.shares.fairShareIndex(team, now);
  }

  /** Runs one round of placement and preemption. Returns how many tasks were assigned to a machine. */
  round(now: number): number {
    const decided = this.place(now);
    this.preemption.run(now);
    return decided;
  }

  /** Assigns waiting tasks to machines with capacity; returns how many tasks. */
  place(now: number): number {
    const { fleet, shares, reservations } = this;
    const { decisionsPerRound } = this.settings;
    const round = new PlacementRound(fleet, shares, reservations, decisionsPerRound, now);
    let decided = 0;
    // Jobs that may preempt others are placed first, so that no task is started only to be preempted.
    // Jobs of equal precedence are placed in fair-share order (docs/design.md).
    for (const tier of precedenceTiers(fleet, shares, (job) => round.isSkipped(job), now)) {
      decided += this.placeTier(tier.queues, this.decisionLimit(tier, decided), round);
    }
    return decided;
  }

  /** Number of tasks that the tier may place; few best-effort ones, as many short tasks would load the leader's CPU. */
  private decisionLimit({ isBestEffort }: PrecedenceTier, decided: number): number {
    const { decisionsPerRound } = this.settings;
    const left = decisionsPerRound - decided;
    return isBestEffort ? Math.min(left, Math.ceil(decisionsPerRound * BEST_EFFORT_SHARE)) : left;
  }

  /** Places jobs of equal precedence until `limit` tasks are placed. The last turn may exceed it. Returns how many. */
  private placeTier(queues: TeamQueue[], limit: number, round: PlacementRound): number {
    let decided = 0;
    for (const queue of this.lowestIndexFirst(queues, round.now)) {
      for (let next = queue.peek(); next && decided < limit; next = queue.peek()) {
        const placed = round.placeTurn(next.job);
        decided += placed;
        if (placed === 0 && round.canPlaceNone(next.bucket)) queue.drop(next.bucket);
        else if (placed === 0 || this.fleet.jobs.waitingCount(next.job) === 0) queue.advance();
      }
    }
    return decided;
  }

  /** Sorts the queues by fair-share index. One sort suffices: tasks placed at `now` change the indexes only later. */
  private lowestIndexFirst(queues: TeamQueue[], now: number): TeamQueue[] {
    const indexed = queues.map((queue) => ({ queue, index: this.index(queue.team, now) }));
    indexed.sort((a, b) => a.index - b.index || (a.queue.team < b.queue.team ? -1 : 1));
    return indexed.map(({ queue }) => queue);
  }
}
