import { conditionsKey } from '../placement/bin-packing.js';
import type { JobState } from '../model/model.js';
import { membersOf } from '../model/replica-groups.js';
import { WaitingBucket } from './waiting-bucket.js';

/** The jobs that have tasks which wait for a machine, in buckets of like jobs. */
export class WaitingJobs {
  /** Gangs are few and looked at one by one. */
  readonly gangs = new Set<JobState>();
  private readonly bucketOf = new Map<JobState, WaitingBucket>();
  private readonly byKey = new Map<string, WaitingBucket>();
  private joined = 0;

  get size(): number {
    return this.bucketOf.size;
  }

  has(job: JobState): boolean {
    return this.bucketOf.has(job);
  }

  /** All jobs, longest in this state first. */
  [Symbol.iterator](): IterableIterator<JobState> {
    return this.bucketOf.keys();
  }

  /** Buckets that are not empty. */
  buckets(): IterableIterator<WaitingBucket> {
    return this.byKey.values();
  }

  /** The job's bucket, or undefined if it does not wait. */
  bucket(job: JobState): WaitingBucket | undefined {
    return this.bucketOf.get(job);
  }

  add(job: JobState): void {
    if (!this.bucketOf.has(job)) this.enqueue(job, ++this.joined);
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

  delete(job: JobState): void {
    const bucket = this.bucketOf.get(job);
    if (!bucket) return;
    bucket.remove(job);
    if (bucket.size === 0) this.byKey.delete(bucketKey(job));
    this.bucketOf.delete(job);
    this.gangs.delete(job);
  }

  /** Changes what decides in which bucket the job waits; it keeps its place by age. */
  change(job: JobState, change: () => void): void {
    const { waitingOrder } = job;
    const isWaiting = this.has(job);
    this.delete(job);
    change();
    if (isWaiting) this.enqueue(job, waitingOrder);
  }

  /** A task of the job has got a place or lost it. */
  placesChanged(job: JobState): void {
    this.bucketOf.get(job)?.placesChanged(job);
  }
}

function bucketKey(job: JobState): string {
  const { spec, rank } = job;
  const { team, kind, gpus } = spec;
  return `${team} ${rank} ${kind === 'gang'} ${gpus} ${membersOf(job)} ${conditionsKey(spec)}`;
}
