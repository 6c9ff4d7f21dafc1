/** Limits on the starts of replicas: the deadline, the backoff after a failed start, and the concurrent repairs. */

/** Time that a start may take in addition to the fetch of its image, in worker leases. */
const START_TIMEOUT_LEASES = 2;
/** Multiple of an image's nominal fetch time that a start may take: several fetches may share a machine's rate. */
const FETCH_TIME_FACTOR = 3;
/** Number of failed starts after which the deadline and the backoff stop growing. */
const MAX_DOUBLINGS = 5;
/** Longest backoff before any doubling, in worker leases; each failed start doubles it, also the first. */
const BASE_BACKOFF_LEASES = 1 / 2;
/** Fraction of the longest backoff that is random. */
const JITTER_SHARE = 1 / 2;
/** Limit on replicas under repair that start at the same time: per machine of the fleet, and its minimum. */
const REPAIRS_PER_MACHINE = 1 / 8;
const MIN_REPAIR_LIMIT = 4;

/** Seconds within which all members of a start must run. Doubles with each failed start. */
export function startDeadlineS(leaseS: number, fetchS: number, failedStarts: number): number {
  return (START_TIMEOUT_LEASES * leaseS + FETCH_TIME_FACTOR * fetchS) * growthFactor(failedStarts);
}

/** Seconds for which a replica gets no places after a failed start. `random`, from 0 to 1, sets the jitter. */
export function backoffS(leaseS: number, failedStarts: number, random: number): number {
  const maxBackoffS = BASE_BACKOFF_LEASES * leaseS * growthFactor(failedStarts);
  return maxBackoffS * (1 - JITTER_SHARE + JITTER_SHARE * random);
}

/**
 * Maximum number of replicas under repair that start at the same time. The limit keeps the loss of a zone from causing
 * an overload of starts.
 */
export function maxConcurrentRepairs(machines: number): number {
  return Math.max(MIN_REPAIR_LIMIT, Math.floor(machines * REPAIRS_PER_MACHINE));
}

function growthFactor(failedStarts: number): number {
  return 2 ** Math.min(failedStarts, MAX_DOUBLINGS);
}
