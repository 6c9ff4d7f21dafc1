/** Random numbers and durations, drawn from a random source that the caller provides. */
/** Returns a number in [0, 1), as Runtime.random. */
export type Random = () => number;

/** Smallest and largest value of a range. */
export type Span = [least: number, most: number];

/** A log-normal distribution of durations in seconds, cut off at `maxS`. */
export interface TimeDistribution {
  medianS: number;
  p95S: number;
  maxS: number;
}

/** Distance between the median and the 95th percentile of a normal distribution, in standard deviations. */
const P95_Z_SCORE = 1.645;

/** Draws a uniformly distributed number from the range. */
export function uniform(random: Random, [least, most]: Span): number {
  return least + (most - least) * random();
}

/** Draws a uniformly distributed integer from the range, both ends included. */
export function uniformInteger(random: Random, [least, most]: Span): number {
  return least + Math.floor(random() * (most - least + 1));
}

/** Draws the seconds until the next event of a Poisson process with the given rate. */
export function exponential(random: Random, perSecond: number): number {
  return -Math.log(1 - random()) / perSecond;
}

/** Draws a duration in seconds from the distribution. */
export function logNormal(random: Random, { medianS, p95S, maxS }: TimeDistribution): number {
  const deviation = Math.log(p95S / medianS) / P95_Z_SCORE;
  return Math.min(maxS, medianS * Math.exp(deviation * normal(random)));
}

/** Draws a standard normal number by the Box-Muller transform. */
function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
