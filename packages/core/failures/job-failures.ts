/** Failures of a job's tasks, and the backoff that follows from them (docs/design.md, "Failing jobs"). */

/** Maximum number of machines that are remembered per job because its tasks failed on them. */
const MAX_REMEMBERED_MACHINES = 8;
/** Number of machines on which a job must fail before it is crash-looping. */
const MIN_CRASH_LOOP_MACHINES = 2;
/** In heartbeat intervals: the first backoff of a job after more than one failure. */
const INITIAL_BACKOFF_INTERVALS = 2;
/** In heartbeat intervals: the longest backoff of a job after failures. */
const MAX_BACKOFF_INTERVALS = 64;
/** In heartbeat intervals: the longest backoff of a job that workers do not know. */
const MAX_UNKNOWN_JOB_BACKOFF_INTERVALS = 8;
/** Each backoff is shortened at random by up to this fraction, so that jobs do not retry at the same time. */
const MAX_JITTER = 0.5;
/** A task clears its job of failures once it has run for this many times the longest failed run, plus a lease. */
const MIN_CLEARING_RUN_RATIO = 2;

/** Returns a random number in [0, 1). */
export type Random = () => number;

/** A job's failures since one of its tasks last succeeded. Times are seconds of the monotonic clock. */
export interface JobFailures {
  /** Consecutive failed attempts; attempts that overlap in time count as one. */
  attempts: number;
  /** When the last failed attempt was counted. */
  countedAt: number;
  /** Names of the machines on which tasks of the job failed, up to `MAX_REMEMBERED_MACHINES`. */
  machines: Set<string>;
  /** Longest time, in seconds, that a task of the job ever ran before it failed. */
  longestRunS: number;
  /** Consecutive starts that workers refused because they did not know the job. */
  unknownStarts: number;
}

/** A task of the job that has failed. Times are seconds of the monotonic clock. */
export interface FailedTask {
  /** Name of the machine on which the task failed. */
  machine: string;
  assignedAt: number;
  /** Seconds from when the task was first seen to run until it failed. */
  ranS: number;
}

/** The failures of a job that has not failed. */
export function noJobFailures(): JobFailures {
  return { attempts: 0, countedAt: 0, machines: new Set(), longestRunS: 0, unknownStarts: 0 };
}

/** Counts a failed task. Returns whether its attempt is new, and whether the job had not failed on its machine yet. */
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

/** Forgets the failures of a job of which a task has succeeded, except `longestRunS`. */
export function forgetJobFailures(failures: JobFailures): void {
  failures.attempts = 0;
  failures.machines.clear();
}

/** Whether the job is crash-looping: its tasks failed on several machines, and none has succeeded since. */
export function isCrashLooping({ machines }: JobFailures): boolean {
  return machines.size >= MIN_CRASH_LOOP_MACHINES;
}

/** Whether a task that has run for `ranS` seconds shows that the job does not always fail. */
export function clearsJobFailures(
  { longestRunS }: JobFailures,
  ranS: number,
  leaseS: number,
): boolean {
  return ranS > MIN_CLEARING_RUN_RATIO * longestRunS + leaseS;
}

/**
 * Returns the seconds of backoff after a job's last failure. The first failure may be the machine's fault, so the job
 * is retried on another machine at once; after that, the backoff doubles with each failed attempt.
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

/** Returns the seconds of backoff after a worker refused a start because it did not know the job. */
export function unknownJobBackoffS(
  { unknownStarts }: JobFailures,
  heartbeatIntervalS: number,
): number {
  return heartbeatIntervalS * Math.min(MAX_UNKNOWN_JOB_BACKOFF_INTERVALS, 2 ** (unknownStarts - 1));
}
