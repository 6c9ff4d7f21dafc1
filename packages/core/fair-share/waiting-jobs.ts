/** Keeps the fleet's waiting jobs. */
import { constraintsKey } from '../placement/task-requirements.js';
import type { JobState } from '../model/entities.js';
import { membersOf } from '../model/replica-groups.js';
import { WaitingBucket } from './waiting-bucket.js';

/** The jobs with tasks that wait for a machine, grouped into buckets of similar jobs. */
export class WaitingJobs {
  /** The waiting jobs that are gangs. There are few of them, so they are visited one by one. */
  readonly gangs = new Set<JobState>();
  private readonly bucketOf = new Map<JobState, WaitingBucket>();
  private readonly byKey = new Map<string, WaitingBucket>();
  private lastWaitingOrder = 0;

  /** Number of waiting jobs. */
  get size(): number {
    return this.bucketOf.size;
  }

  /** Whether the job waits. */
  has(job: JobState): boolean {
    return this.bucketOf.has(job);
  }

  /** All waiting jobs, in the order in which they were last added. */
  [Symbol.iterator](): IterableIterator<JobState> {
    return this.bucketOf.keys();
  }

  /** All buckets; each contains at least one job. */
  buckets(): IterableIterator<WaitingBucket> {
    return this.byKey.values();
  }

  /** The job's bucket, or undefined if it does not wait. */
  bucket(job: JobState): WaitingBucket | undefined {
    return this.bucketOf.get(job);
  }

  /** Adds a job that has begun to wait. */
  add(job: JobState): void {
    if (!this.bucketOf.has(job)) this.enqueue(job, ++this.lastWaitingOrder);
  }

  private enqueue(job: JobState, waitingOrder: number): void {
    job.waitingOrder = waitingOrder;
    const key = bucketKey(job);
    let bucket = this.byKey.get(key);
    if (!bucket) this.byKey.set(key, (bucket = new WaitingBucket(job)));
    bucket.add(job);
    this.bucketOf.set(job, bucket);
    if (job.spec.kind === 'gang') this.gangs.add(job);
  }

  /** Removes a job that does not wait any more. */
  delete(job: JobState): void {
    const bucket = this.bucketOf.get(job);
    if (!bucket) return;
    bucket.remove(job);
    if (bucket.size === 0) this.byKey.delete(bucketKey(job));
    this.bucketOf.delete(job);
    this.gangs.delete(job);
  }

  /**
   * Applies a change to a job that may move it to another bucket, such as a change of its rank. The job keeps its
   * `waitingOrder`, so its position by age stays the same.
   */
  change(job: JobState, change: () => void): void {
    const { waitingOrder } = job;
    const isWaiting = this.has(job);
    this.delete(job);
    change();
    if (isWaiting) this.enqueue(job, waitingOrder);
  }

  /** To be called after a task of the job was assigned or an assignment of the job has ended. */
  assignmentsChanged(job: JobState): void {
    this.bucketOf.get(job)?.assignmentsChanged(job);
  }
}

/** Key of the bucket that the job belongs to. */
function bucketKey(job: JobState): string {
  const { spec, rank } = job;
  const { team, kind, gpus } = spec;
  return `${team} ${rank} ${String(kind === 'gang')} ${gpus} ${membersOf(job)} ${constraintsKey(spec)}`;
}
