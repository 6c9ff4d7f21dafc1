/** Random numbers and times, drawn from a source of random numbers that the caller gives. */
/** A number in [0, 1), as Runtime.random. */
export type Random = () => number;

/** Least and most value of a range. */
export type Span = [least: number, most: number];

/** Times whose logarithms are normally distributed; seconds. */
export interface TimeDistribution {
  medianS: number;
  p95S: number;
  maxS: number;
}

/** Distance of the 95th percentile from the median in standard deviations. */
const P95_Z_SCORE = 1.645;

/** A number of the span, all equally likely. */
export function uniform(random: Random, [least, most]: Span): number {
  return least + (most - least) * random();
}

/** A whole number, both ends included. */
export function uniformInteger(random: Random, [least, most]: Span): number {
  return least + Math.floor(random() * (most - least + 1));
}

/** Time until the next of events that come independently at that rate. */
export function exponential(random: Random, perSecond: number): number {
  return -Math.log(1 - random()) / perSecond;
}

/** A time drawn from the distribution, in seconds. */
export function logNormal(random: Random, { medianS, p95S, maxS }: TimeDistribution): number {
  const deviation = Math.log(p95S / medianS) / P95_Z_SCORE;
  return Math.min(maxS, medianS * Math.exp(deviation * normal(random)));
}

/** Standard normal, by Box and Muller. */
function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
