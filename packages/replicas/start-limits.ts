/** Limits on the starts of replicas: the deadline, the backoff after a failed start, and the repairs at a time. */

/** Worker leases that a start may take beside the fetch of its image. */
const START_TIMEOUT_LEASES = 2;
/** Multiple of the nominal time of an image's fetch: several images may share a machine's rate. */
const FETCH_TIME_FACTOR = 3;
/** Failed starts after which neither the deadline nor the backoff grows any more. */
const MAX_DOUBLINGS = 5;
/** Longest backoff after the first failed start, in worker leases. */
const BASE_BACKOFF_LEASES = 1 / 2;
/** Share of a backoff that is random. */
const JITTER_SHARE = 1 / 2;
/** Share of the machines on which replicas that are being repaired may start at the same time, and the least number. */
const REPAIRS_PER_MACHINE = 1 / 8;
const MIN_REPAIR_LIMIT = 4;

/** Seconds until all members of a start must run; doubles with each start that failed. */
export function startDeadlineS(leaseS: number, fetchS: number, failedStarts: number): number {
  return (START_TIMEOUT_LEASES * leaseS + FETCH_TIME_FACTOR * fetchS) * growthFactor(failedStarts);
}

/** Seconds for which a replica whose start failed gets no places; `random`, from 0 to 1, adds the jitter. */
export function backoffS(leaseS: number, failedStarts: number, random: number): number {
  const maxBackoffS = BASE_BACKOFF_LEASES * leaseS * growthFactor(failedStarts);
  return maxBackoffS * (1 - JITTER_SHARE + JITTER_SHARE * random);
}

/** How many replicas that lost a member may start at the same time, so that a lost zone overloads nothing. */
export function maxConcurrentRepairs(machines: number): number {
  return Math.max(MIN_REPAIR_LIMIT, Math.floor(machines * REPAIRS_PER_MACHINE));
}

function growthFactor(failedStarts: number): number {
  return 2 ** Math.min(failedStarts, MAX_DOUBLINGS);
}
