/** The evidence against a job: how its tasks failed, and how long it backs off (docs/design.md, "Failing jobs"). */

/** Machines of one job's failures that are remembered. */
const MAX_REMEMBERED_MACHINES = 8;
/** Machines on which a job has to fail before it is crash-looping. */
const MIN_CRASH_LOOP_MACHINES = 2;
/** In heartbeat intervals: the first wait of a job after more than one failure. */
const INITIAL_BACKOFF_INTERVALS = 2;
/** In heartbeat intervals: the longest wait of a job after failures. */
const MAX_BACKOFF_INTERVALS = 64;
/** In heartbeat intervals: the longest wait of a job that the workers do not know. */
const MAX_UNKNOWN_JOB_BACKOFF_INTERVALS = 8;
/** Waits are shortened by up to this share at random, so that jobs do not retry together. */
const MAX_JITTER = 0.5;
/** A task clears its job once it has run for this many times as long as those that failed. */
const MIN_CLEARING_RUN_RATIO = 2;

/** A number in [0, 1). */
export type Random = () => number;

/** A job's failures since one of its tasks succeeded. Times are seconds of the steady clock. */
export interface JobFailures {
  /** Attempts that failed one after the other; those that overlap count as one. */
  attempts: number;
  /** When the last of these was counted. */
  countedAt: number;
  /** Names of the machines on which its tasks failed, up to a few. */
  machines: Set<string>;
  /** Longest time, in seconds, that a task of the job ever ran before it failed. */
  longestRunS: number;
  /** Starts that workers refused since they did not know the job. */
  unknownStarts: number;
}

/** A task of the job that has failed. Times are seconds of the steady clock. */
export interface FailedTask {
  /** Name of the machine on which it failed. */
  machine: string;
  assignedAt: number;
  /** Seconds for which it was seen to run. */
  ranS: number;
}

/** The failures of a job that has not failed. */
export function noJobFailures(): JobFailures {
  return { attempts: 0, countedAt: 0, machines: new Set(), longestRunS: 0, unknownStarts: 0 };
}

/** Counts a failure; returns whether it is of a new attempt, and on a machine where the job had not failed. */
export function countJobFailure(
  failures: JobFailures,
  { machine, assignedAt, ranS }: FailedTask,
  now: number,
): { isNewAttempt: boolean; isNewMachine: boolean } {
  const { machines } = failures;
  const isNewAttempt = failures.attempts === 0 || assignedAt >= failures.countedAt;
  const isNewMachine = !machines.has(machine) && machines.size < MAX_REMEMBERED_MACHINES;
  if (isNewMachine) machines.add(machine);
  if (isNewAttempt) {
    failures.attempts++;
    failures.countedAt = now;
  }
  failures.longestRunS = Math.max(failures.longestRunS, ranS);
  return { isNewAttempt, isNewMachine };
}

/** A task of the job succeeded. How long tasks ran before they failed stays known. */
export function forgetJobFailures(failures: JobFailures): void {
  failures.attempts = 0;
  failures.machines.clear();
}

/** Whether the failures speak against the job: its tasks failed on several machines, and none succeeded. */
export function isCrashLooping({ machines }: JobFailures): boolean {
  return machines.size >= MIN_CRASH_LOOP_MACHINES;
}

/** Whether a task that runs for so long shows that the job does not always fail. */
export function clearsJobFailures(
  { longestRunS }: JobFailures,
  ranS: number,
  leaseS: number,
): boolean {
  return ranS > MIN_CLEARING_RUN_RATIO * longestRunS + leaseS;
}

/**
 * Seconds of backoff after a job's last failure. The first one may be its machine's fault, so the job is
 * tried elsewhere at once; then waits double.
 */
export function retryBackoffS(
  failures: JobFailures,
  heartbeatIntervalS: number,
  random: Random,
): number {
  const { attempts } = failures;
  if (attempts <= 1 && !isCrashLooping(failures)) return 0;
  const intervals = Math.min(
    MAX_BACKOFF_INTERVALS,
    INITIAL_BACKOFF_INTERVALS * 2 ** (attempts - 1),
  );
  return heartbeatIntervalS * intervals * (1 - MAX_JITTER * random());
}

/** Seconds of backoff after a worker did not know the job. */
export function unknownJobBackoffS(
  { unknownStarts }: JobFailures,
  heartbeatIntervalS: number,
): number {
  return heartbeatIntervalS * Math.min(MAX_UNKNOWN_JOB_BACKOFF_INTERVALS, 2 ** (unknownStarts - 1));
}
