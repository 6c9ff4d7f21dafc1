import type { Amounts } from '../model/amounts.js';
import type { FleetState } from '../fleet-state.js';
import type { JobState } from '../model/model.js';
import { RANKS } from './ranks.js';
import type { FairShares } from './fair-shares.js';
import { byAge, WaitingBucket } from './waiting-bucket.js';

/** Work within a guarantee goes before all that is not, and best-effort work after all other. */
const BORROWERS = RANKS;
const BEST_EFFORT = 2 * RANKS;

/** A job whose turn may come, and the service that it has received. */
interface RankedJob {
  job: JobState;
  service: number;
}

/** Jobs of a bucket that a round leaves out, such as those that back off. */
export type JobFilter = (job: JobState) => boolean;

/** Goes through the jobs of a bucket, least served first, while tasks of them are given places. */
class BucketCursor {
  private readonly active: RankedJob[];
  private nextActive = 0;
  private nextIdle = 0;

  constructor(
    readonly bucket: WaitingBucket,
    private readonly isLeftOut: JobFilter,
    private readonly now: number,
  ) {
    this.active = [...bucket.active].map((job) => this.ranked(job)).sort(compareRanked);
  }

  /** The next job, or null if there is none. */
  peek(): RankedJob | null {
    const { idle } = this.bucket;
    while (this.nextActive < this.active.length && this.isLeftOut(this.active[this.nextActive].job))
      this.nextActive++;
    while (this.nextIdle < idle.length && this.isLeftOut(idle[this.nextIdle].job)) this.nextIdle++;
    const active = this.active.at(this.nextActive) ?? null;
    const next = idle.at(this.nextIdle);
    const resting = next ? this.ranked(next.job) : null;
    if (active === null || resting === null) return active ?? resting;
    return compareRanked(active, resting) <= 0 ? active : resting;
  }

  /** The job has had its turn. One that got its first place has left the list of idle ones by itself. */
  advance(job: JobState): void {
    if (this.active.at(this.nextActive)?.job === job) this.nextActive++;
    else if (this.bucket.idle.at(this.nextIdle)?.job === job) this.nextIdle++;
  }

  /** What is read for the present time is not changed by what gets a place now. */
  private ranked(job: JobState): RankedJob {
    return { job, service: job.service.read(this.now) };
  }
}

/** The waiting jobs of one team that have equal precedence, least served first. */
export class TeamQueue {
  private readonly cursors: BucketCursor[] = [];
  private current: { job: JobState; cursor: BucketCursor } | null = null;

  constructor(
    readonly team: string,
    private readonly now: number,
  ) {}

  add(bucket: WaitingBucket, isLeftOut: JobFilter): void {
    this.cursors.push(new BucketCursor(bucket, isLeftOut, this.now));
  }

  /** The job whose turn it is, and its bucket; null if none is left. It stays until `advance`. */
  peek(): { job: JobState; bucket: WaitingBucket } | null {
    this.current ??= this.next();
    return this.current && { job: this.current.job, bucket: this.current.cursor.bucket };
  }

  /** The present job has had its turn. */
  advance(): void {
    this.current?.cursor.advance(this.current.job);
    this.current = null;
  }

  /** None of the bucket's jobs can get a place any more. */
  drop(bucket: WaitingBucket): void {
    const index = this.cursors.findIndex((cursor) => cursor.bucket === bucket);
    if (index >= 0) this.cursors.splice(index, 1);
    this.current = null;
  }

  private next(): { job: JobState; cursor: BucketCursor } | null {
    let first: RankedJob | null = null;
    let from: BucketCursor | null = null;
    for (const cursor of this.cursors) {
      const head = cursor.peek();
      if (head === null || (first !== null && compareRanked(first, head) <= 0)) continue;
      first = head;
      from = cursor;
    }
    return first && from && { job: first.job, cursor: from };
  }
}

/** Waiting jobs of equal precedence. */
export interface Tier {
  isBestEffort: boolean;
  queues: TeamQueue[];
}

/**
 * The waiting jobs by precedence: work within a guarantee before borrowers, then by rank, and best-effort
 * work last. Jobs that `isLeftOut` holds for, whenever their turn comes, are passed over.
 */
export function queuesByPrecedence(
  fleet: FleetState,
  shares: FairShares,
  isLeftOut: JobFilter,
  now: number,
): Tier[] {
  const tiers: Tier[] = [];
  const enqueue = (tier: number, bucket: WaitingBucket, filter: JobFilter) => {
    const { queues } = (tiers[tier] ??= { isBestEffort: bucket.isBestEffort, queues: [] });
    const { team } = bucket.sample;
    let queue = queues.find((each) => each.team === team);
    if (!queue) queues.push((queue = new TeamQueue(team, now)));
    queue.add(bucket, filter);
  };
  for (const bucket of fleet.jobs.waiting.buckets()) {
    const { rank } = bucket;
    const { team, gpus } = bucket.sample;
    if (!shares.isKnown(team)) continue;
    if (bucket.isBestEffort) {
      enqueue(BEST_EFFORT, bucket, isLeftOut);
      continue;
    }
    const { members } = bucket;
    const withinNow = shares.guaranteeCheck(team);
    const within = (need: Pick<Amounts, 'cpus' | 'gpus'>) =>
      withinNow({ cpus: need.cpus * members, gpus: need.gpus * members });
    const least = within(bucket.minAmounts);
    const most = within({ cpus: bucket.maxCpus, gpus });
    const isOutside = (job: JobState) => !within(job.spec) || isLeftOut(job);
    const isInside = (job: JobState) => within(job.spec) || isLeftOut(job);
    if (least) enqueue(rank, bucket, most ? isLeftOut : isOutside);
    if (!most) enqueue(BORROWERS + rank, bucket, least ? isInside : isLeftOut);
  }
  return tiers.filter((tier) => tier !== undefined);
}

function compareRanked(a: RankedJob, b: RankedJob): number {
  return a.service - b.service || byAge(a.job, b.job);
}

/** Jobs of the highest rank first, then the oldest. */
export function byRankAndAge(a: JobState, b: JobState): number {
  return a.rank - b.rank || byAge(a, b);
}
