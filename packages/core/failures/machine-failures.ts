/** Failures on a machine by job, and the quarantine that follows from them (docs/design.md, "Failing jobs"). */

/** In heartbeat intervals: the first quarantine of a machine; doubles with each job whose failures are confirmed. */
const FIRST_QUARANTINE_INTERVALS = 5;
/** In heartbeat intervals: the longest quarantine. */
const MAX_QUARANTINE_INTERVALS = 32;
/** Number of jobs that must fail on a machine and succeed elsewhere before the machine is faulty. */
const FAULTY_AFTER_CONFIRMED_JOBS = 3;
/** Number of consecutive attempts of one job that must fail on a machine, and only there, before it is faulty. */
const FAULTY_AFTER_ATTEMPTS = 3;

/** Failures of one job on a machine. */
interface JobFailuresOnMachine {
  /** Consecutive failed attempts. */
  attempts: number;
  /** Whether the job has since succeeded on another machine. */
  isConfirmed: boolean;
}

/** Failures that may be the machine's fault. Times are seconds of the monotonic clock. */
export interface MachineFailures {
  /** By job id. */
  jobs: Map<string, JobFailuresOnMachine>;
  /** End of the quarantine; the machine takes no new work before this time. */
  quarantinedUntil: number;
}

/** The failures of a machine on which nothing has failed. */
export function noMachineFailures(): MachineFailures {
  return { jobs: new Map(), quarantinedUntil: 0 };
}

/**
 * Counts a failed attempt of the job with that id, and quarantines the machine. The job must have failed on no other
 * machine since one of its tasks last succeeded.
 */
export function countMachineFailure(
  failures: MachineFailures,
  job: string,
  heartbeatIntervalS: number,
  now: number,
): void {
  const { jobs } = failures;
  const jobFailures = jobs.get(job) ?? { attempts: 0, isConfirmed: false };
  // A job that succeeded elsewhere counts once, however often it fails: some of its tasks may always fail.
  if (!jobFailures.isConfirmed) jobFailures.attempts++;
  jobs.set(job, jobFailures);
  const intervals = Math.min(
    MAX_QUARANTINE_INTERVALS,
    FIRST_QUARANTINE_INTERVALS * 2 ** countConfirmedJobs(failures),
  );
  failures.quarantinedUntil = Math.max(
    failures.quarantinedUntil,
    now + intervals * heartbeatIntervalS,
  );
}

/** Marks the job's failures as the machine's fault, because the job has succeeded on another machine. */
export function confirmMachineFailures({ jobs }: MachineFailures, job: string): void {
  const jobFailures = jobs.get(job);
  if (jobFailures) jobFailures.isConfirmed = true;
}

/** Forgets the job's failures on the machine unless they are confirmed. Ends the quarantine if no failures are left. */
export function forgetMachineFailures(failures: MachineFailures, job: string): void {
  const { jobs } = failures;
  if (jobs.get(job)?.isConfirmed !== false) return;
  jobs.delete(job);
  if (jobs.size === 0) failures.quarantinedUntil = 0;
}

/** Whether the failures show that the machine is faulty and must be drained. */
export function isFaulty(failures: MachineFailures): boolean {
  for (const { attempts, isConfirmed } of failures.jobs.values()) {
    if (!isConfirmed && attempts >= FAULTY_AFTER_ATTEMPTS) return true;
  }
  return countConfirmedJobs(failures) >= FAULTY_AFTER_CONFIRMED_JOBS;
}

function countConfirmedJobs({ jobs }: MachineFailures): number {
  let count = 0;
  for (const { isConfirmed } of jobs.values()) if (isConfirmed) count++;
  return count;
}
