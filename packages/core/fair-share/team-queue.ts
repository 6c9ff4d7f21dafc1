/** Queues a team's waiting jobs of equal precedence in the order in which they are served. */
import type { JobState } from '../model/entities.js';
import { byAge } from './job-order.js';
import type { WaitingBucket } from './waiting-bucket.js';

/** A waiting job and the service that it has received. */
interface JobWithService {
  job: JobState;
  service: number;
}

/** Whether a job is left out of a scheduling round, for example during its backoff. */
export type JobFilter = (job: JobState) => boolean;

/** Iterates over the jobs of a bucket, least served first. Tasks of these jobs may be placed meanwhile. */
class BucketCursor {
  private readonly active: JobWithService[];
  private nextActive = 0;
  private nextIdle = 0;

  constructor(
    readonly bucket: WaitingBucket,
    private readonly isSkipped: JobFilter,
    private readonly now: number,
  ) {
    this.active = [...bucket.active].map((job) => this.withService(job)).sort(compareByService);
  }

  /** The next job of the bucket, or null if none is left. */
  peek(): JobWithService | null {
    const { idle } = this.bucket;
    while (this.nextActive < this.active.length && this.isSkipped(this.active[this.nextActive].job))
      this.nextActive++;
    while (this.nextIdle < idle.length && this.isSkipped(idle[this.nextIdle].job)) this.nextIdle++;
    const active = this.active.at(this.nextActive) ?? null;
    const next = idle.at(this.nextIdle);
    const idleJob = next ? this.withService(next.job) : null;
    if (active === null || idleJob === null) return active ?? idleJob;
    return compareByService(active, idleJob) <= 0 ? active : idleJob;
  }

  /** Moves on after a job was served. A job whose first task was placed has already left the bucket's idle jobs. */
  advance(job: JobState): void {
    if (this.active.at(this.nextActive)?.job === job) this.nextActive++;
    else if (this.bucket.idle.at(this.nextIdle)?.job === job) this.nextIdle++;
  }

  /** The job with its service at `now`. Tasks that are placed at `now` do not change that service. */
  private withService(job: JobState): JobWithService {
    return { job, service: job.service.read(this.now) };
  }
}

/** The next job to serve and the cursor that yielded it. */
interface QueueHead {
  job: JobState;
  cursor: BucketCursor;
}

/** The waiting jobs of one team with equal precedence, least served first. */
export class TeamQueue {
  private readonly cursors: BucketCursor[] = [];
  private current: QueueHead | null = null;

  constructor(
    readonly team: string,
    private readonly now: number,
  ) {}

  /** Adds the bucket's jobs. A job for which `isSkipped` returns true when it would be served next is left out. */
  add(bucket: WaitingBucket, isSkipped: JobFilter): void {
    this.cursors.push(new BucketCursor(bucket, isSkipped, this.now));
  }

  /** The next job to serve and its bucket; null if no job is left. Returns the same job until `advance` or `drop`. */
  peek(): { job: JobState; bucket: WaitingBucket } | null {
    this.current ??= this.next();
    return this.current && { job: this.current.job, bucket: this.current.cursor.bucket };
  }

  /** Moves on to the job after the one that `peek` returned. */
  advance(): void {
    this.current?.cursor.advance(this.current.job);
    this.current = null;
  }

  /** Removes the bucket from the queue. To be called when none of its jobs can be placed any more. */
  drop(bucket: WaitingBucket): void {
    const index = this.cursors.findIndex((cursor) => cursor.bucket === bucket);
    if (index >= 0) this.cursors.splice(index, 1);
    this.current = null;
  }

  private next(): QueueHead | null {
    let first: JobWithService | null = null;
    let from: BucketCursor | null = null;
    for (const cursor of this.cursors) {
      const head = cursor.peek();
      if (head === null || (first !== null && compareByService(first, head) <= 0)) continue;
      first = head;
      from = cursor;
    }
    return first && from && { job: first.job, cursor: from };
  }
}

function compareByService(a: JobWithService, b: JobWithService): number {
  return a.service - b.service || byAge(a.job, b.job);
}
