/** All waiting jobs of the fleet. */
import { constraintsKey } from '../placement/task-requirements.js';
import type { JobState } from '../model/entities.js';
import { membersOf } from '../model/replica-groups.js';
import { WaitingBucket } from './waiting-bucket.js';

/** The jobs with tasks that wait for a machine, in buckets of like jobs. */
export class WaitingJobs {
  /** The gangs among them: they are few and are visited one by one. */
  readonly gangs = new Set<JobState>();
  private readonly bucketOf = new Map<JobState, WaitingBucket>();
  private readonly byKey = new Map<string, WaitingBucket>();
  private lastWaitingOrder = 0;

  /** Number of jobs. */
  get size(): number {
    return this.bucketOf.size;
  }

  /** Whether the job waits. */
  has(job: JobState): boolean {
    return this.bucketOf.has(job);
  }

  /** All jobs, longest in this state first. */
  [Symbol.iterator](): IterableIterator<JobState> {
    return this.bucketOf.keys();
  }

  /** The buckets; none is empty. */
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

  /** Changes what decides in which bucket the job waits; it keeps its position by age. */
  change(job: JobState, change: () => void): void {
    const { waitingOrder } = job;
    const isWaiting = this.has(job);
    this.delete(job);
    change();
    if (isWaiting) this.enqueue(job, waitingOrder);
  }

  /** To be called when a task of the job was assigned, or its assignment has ended. */
  placesChanged(job: JobState): void {
    this.bucketOf.get(job)?.assignmentsChanged(job);
  }
}

/** Equal for jobs of the same bucket. */
function bucketKey(job: JobState): string {
  const { spec, rank } = job;
  const { team, kind, gpus } = spec;
  return `${team} ${rank} ${String(kind === 'gang')} ${gpus} ${membersOf(job)} ${constraintsKey(spec)}`;
}
