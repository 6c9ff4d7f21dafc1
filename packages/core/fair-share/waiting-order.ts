/** Iterates over waiting jobs by rank and age, without sorting all of them first. */
import type { JobState } from '../model/entities.js';
import { byAge, byRankAndAge } from './job-order.js';
import type { WaitingBucket } from './waiting-bucket.js';

/** Some of a bucket's jobs, by age; `next` comes before what `rest` yields. */
interface SortedRun {
  bucket: WaitingBucket;
  rest: Iterator<JobState, undefined>;
  next: JobState;
}

/**
 * The buckets' jobs of the highest rank first, then the oldest. A bucket for which `isExhausted` is true after
 * one of its jobs is left out from then on.
 */
export function* oldestFirst(
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

/** The bucket's jobs in two runs: those never served are in order already, the others are sorted. */
function sortedRunsOf(bucket: WaitingBucket): SortedRun[] {
  const served = bucket.served().sort(byAge);
  return [bucket.neverServed(), served.values()].flatMap((rest: Iterator<JobState, undefined>) => {
    const { done, value } = rest.next();
    return done ? [] : [{ bucket, rest, next: value }];
  });
}
