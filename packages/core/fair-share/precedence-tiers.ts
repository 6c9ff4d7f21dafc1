/** Sorts waiting jobs into tiers of equal precedence, each with one queue for each team. */
import type { FleetState } from '../fleet-state.js';
import type { Resources } from '../model/resources.js';
import type { JobState } from '../model/entities.js';
import type { FairShares } from './fair-shares.js';
import { RANKS } from './ranks.js';
import { type JobFilter, TeamQueue } from './team-queue.js';
import type { WaitingBucket } from './waiting-bucket.js';

/**
 * Number of the first tier of borrowers, which are jobs beyond their team's guarantee. Tiers 0 to `RANKS` - 1 contain
 * the jobs within their team's guarantee. Both kinds have one tier for each rank.
 */
const FIRST_BORROWER_TIER = RANKS;
/** Number of the tier of best-effort jobs, which follows all others. */
const BEST_EFFORT_TIER = 2 * RANKS;

/** Waiting jobs of equal precedence, queued by team. */
export interface PrecedenceTier {
  isBestEffort: boolean;
  queues: TeamQueue[];
}

/**
 * The waiting jobs in order of precedence: jobs within their team's guarantee by rank, then borrowers by rank, then
 * best-effort jobs. A job for which `isSkipped` returns true when it would be served next is left out.
 */
export function precedenceTiers(
  fleet: FleetState,
  shares: FairShares,
  isSkipped: JobFilter,
  now: number,
): PrecedenceTier[] {
  const tiers = new TierBuilder(isSkipped, now);
  for (const bucket of fleet.jobs.waiting.buckets()) {
    if (!shares.isKnown(bucket.representative.team)) continue;
    if (bucket.isBestEffort) tiers.addBestEffort(bucket);
    else tiers.addFirm(bucket, shares);
  }
  return tiers.build();
}

class TierBuilder {
  private readonly byPrecedence = new Map<number, PrecedenceTier>();

  constructor(
    private readonly isSkipped: JobFilter,
    private readonly now: number,
  ) {}

  addBestEffort(bucket: WaitingBucket): void {
    this.enqueue(BEST_EFFORT_TIER, bucket, this.isSkipped);
  }

  /** Adds a bucket of firm (not best-effort) jobs. If only some are within the guarantee, it goes into two tiers. */
  addFirm(bucket: WaitingBucket, shares: FairShares): void {
    const { isSkipped } = this;
    const { rank, membersPerReplica, minAmounts, maxCpus, representative } = bucket;
    const isTaskWithin = shares.guaranteeCheck(representative.team);
    const isWithin = ({ cpus, gpus }: Pick<Resources, 'cpus' | 'gpus'>) =>
      isTaskWithin({ cpus: cpus * membersPerReplica, gpus: gpus * membersPerReplica });
    const isAnyWithin = isWithin(minAmounts);
    const areAllWithin = isWithin({ cpus: maxCpus, gpus: representative.gpus });
    const skipBorrowers = (job: JobState) => !isWithin(job.spec) || isSkipped(job);
    const skipGuaranteed = (job: JobState) => isWithin(job.spec) || isSkipped(job);
    if (isAnyWithin) this.enqueue(rank, bucket, areAllWithin ? isSkipped : skipBorrowers);
    if (!areAllWithin) {
      const filter = isAnyWithin ? skipGuaranteed : isSkipped;
      this.enqueue(FIRST_BORROWER_TIER + rank, bucket, filter);
    }
  }

  /** The tiers that have jobs, highest precedence first. */
  build(): PrecedenceTier[] {
    return [...this.byPrecedence].sort(([a], [b]) => a - b).map(([, tier]) => tier);
  }

  private enqueue(precedence: number, bucket: WaitingBucket, isSkipped: JobFilter): void {
    const { team } = bucket.representative;
    let tier = this.byPrecedence.get(precedence);
    if (!tier) {
      tier = { isBestEffort: bucket.isBestEffort, queues: [] };
      this.byPrecedence.set(precedence, tier);
    }
    let queue = tier.queues.find((each) => each.team === team);
    if (!queue) tier.queues.push((queue = new TeamQueue(team, this.now)));
    queue.add(bucket, isSkipped);
  }
}
