import { byRankAndAge } from './job-queues.js';
import type { JobState } from '../model/model.js';
import { byAge, WaitingBucket } from './waiting-bucket.js';

/** A part of a bucket's jobs, by age. */
interface AgedJobs {
  bucket: WaitingBucket;
  rest: Iterator<JobState>;
  next: JobState;
}

/**
 * The buckets' jobs of the highest rank first, then the oldest. A bucket that `isOver` holds for is left
 * out from then on.
 */
export function* oldestFirst(
  buckets: WaitingBucket[],
  isOver: (bucket: WaitingBucket) => boolean = () => false,
): Generator<JobState> {
  let parts = buckets.flatMap(agedParts);
  while (parts.length > 0) {
    const first = parts.reduce((a, b) => (byRankAndAge(b.next, a.next) < 0 ? b : a));
    yield first.next;
    const { done, value } = first.rest.next();
    if (done) parts = parts.filter((shard) => shard !== first);
    else first.next = value;
    if (isOver(first.bucket)) parts = parts.filter(({ bucket }) => bucket !== first.bucket);
  }
}

function agedParts(bucket: WaitingBucket): AgedJobs[] {
  const served = bucket.served().sort(byAge);
  return [bucket.neverServed(), served.values()].flatMap((rest) => {
    const { done, value } = rest.next();
    return done ? [] : [{ bucket, rest, next: value }];
  });
}
