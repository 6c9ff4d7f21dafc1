/** The scheduler: rounds that give waiting tasks machines, and then preempt tasks for those left waiting. */
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

/** What operators may set of scheduling, and the size of a round. */
export interface ScheduleSettings extends PreemptionSettings {
  /** Share of the fleet that a team counts as having guaranteed at least. */
  floorWeight: number;
  /** Most decisions taken in one round. */
  decisionsPerRound: number;
}

/** Decides which waiting tasks get which machines, and what is preempted for them. */
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

  /** The team's fair-share index; the team with the lowest index is served first. */
  index(team: string, now: number): number {
    return this.shares.index(team, now);
  }

  /** One round of decisions. Returns how many tasks were given a machine. */
  round(now: number): number {
    const decided = this.place(now);
    this.preemption.run(now);
    return decided;
  }

  /** Gives machines to waiting tasks, as far as there is capacity; returns to how many. */
  place(now: number): number {
    const { fleet, shares, reservations } = this;
    const { decisionsPerRound } = this.settings;
    const round = new PlacementRound(fleet, shares, reservations, decisionsPerRound, now);
    let decided = 0;
    // Work that others would have to be preempted for goes first, so that nothing is started only to
    // be stopped again; among equals the design's order decides.
    for (const tier of precedenceTiers(fleet, shares, (job) => round.isSkipped(job), now)) {
      decided += this.placeTier(tier.queues, this.decisionLimit(tier, decided), round);
    }
    return decided;
  }

  /** Decisions left for the tier. Short best-effort tasks must not take up the leader's processor. */
  private decisionLimit({ isBestEffort }: PrecedenceTier, decided: number): number {
    const { decisionsPerRound } = this.settings;
    const left = decisionsPerRound - decided;
    return isBestEffort ? Math.min(left, Math.ceil(decisionsPerRound * BEST_EFFORT_SHARE)) : left;
  }

  /** Places jobs of equal precedence, `limit` tasks or a turn more at the most; returns how many tasks. */
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

  /** The indexes as they are now: what is placed at a moment changes them only after it. */
  private lowestIndexFirst(queues: TeamQueue[], now: number): TeamQueue[] {
    const indexed = queues.map((queue) => ({ queue, index: this.index(queue.team, now) }));
    indexed.sort((a, b) => a.index - b.index || (a.queue.team < b.queue.team ? -1 : 1));
    return indexed.map(({ queue }) => queue);
  }
}
