/** Iterates over waiting jobs by rank and age, without sorting all of them first. */
import type { JobState } from '../model/entities.js';
import { byAge, byRankAndAge } from './job-order.js';
import type { WaitingBucket } from './waiting-bucket.js';

/** Some jobs of a bucket, oldest first. `next` is the oldest; `rest` yields the others in order. */
interface SortedRun {
  bucket: WaitingBucket;
  rest: Iterator<JobState, undefined>;
  next: JobState;
}

/**
 * Yields the buckets' jobs by rank, the most urgent first, and within a rank by age, the oldest first. After each
 * job `isExhausted` is called with the job's bucket; if it returns true, the bucket's other jobs are left out.
 */
export function* iterateByRankAndAge(
  buckets: WaitingBucket[],
  isExhausted: (bucket: WaitingBucket) => boolean = () => false,
): Generator<JobState> {
  let runs = buckets.flatMap(sortedRunsOf);
  while (runs.length > 0) {
    const first = runs.reduce((a, b) => (byRankAndAge(b.next, a.next) < 0 ? b : a));
    yield first.next;
    const { done, value } = first.rest.next();
    if (done) runs = runs.filter((run) => run !== first);
    else first.next = value;
    if (isExhausted(first.bucket)) runs = runs.filter(({ bucket }) => bucket !== first.bucket);
  }
}

/** The bucket's jobs in two sorted runs: jobs never served, which the bucket keeps in order, and the others. */
function sortedRunsOf(bucket: WaitingBucket): SortedRun[] {
  const served = bucket.served().sort(byAge);
  return [bucket.neverServed(), served.values()].flatMap((rest: Iterator<JobState, undefined>) => {
    const { done, value } = rest.next();
    return done ? [] : [{ bucket, rest, next: value }];
  });
}
