/** The evidence against a machine: which jobs' tasks failed on it (docs/design.md, "Failing jobs"). */

/** In heartbeat intervals: how long a machine is quarantined after a task failed on it for the first time. */
const FIRST_QUARANTINE_INTERVALS = 5;
/** In heartbeat intervals: the longest quarantine. */
const MAX_QUARANTINE_INTERVALS = 32;
/** Different jobs that failed on the machine and succeeded elsewhere, from which on it is faulty. */
const FAULTY_AFTER_CONFIRMED_JOBS = 3;
/** Attempts of one job, one after the other and on this machine alone, from which on it is faulty. */
const FAULTY_AFTER_ATTEMPTS = 3;

/** How one job failed on a machine. */
interface JobFailuresOnMachine {
  /** Attempts that failed one after the other. */
  attempts: number;
  /** The job has succeeded elsewhere since. */
  isConfirmed: boolean;
}

/** Failures that may be the machine's fault. Times are seconds of the steady clock. */
export interface MachineFailures {
  /** By job id. */
  jobs: Map<string, JobFailuresOnMachine>;
  /** Quarantined: takes no new work before. */
  quarantinedUntil: number;
}

/** The failures of a machine on which nothing has failed. */
export function noMachineFailures(): MachineFailures {
  return { jobs: new Map(), quarantinedUntil: 0 };
}

/**
 * Counts a failure and quarantines the machine: an attempt of the job of that id failed on it, and nowhere else since a
 * task of the job succeeded.
 */
export function countMachineFailure(
  failures: MachineFailures,
  job: string,
  heartbeatIntervalS: number,
  now: number,
): void {
  const { jobs } = failures;
  const jobFailures = jobs.get(job) ?? { attempts: 0, isConfirmed: false };
  // Of a job that also succeeds, some tasks may always fail: it counts once.
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

/** The job has succeeded on another machine, so its failures were this machine's fault. */
export function confirmMachineFailures({ jobs }: MachineFailures, job: string): void {
  const jobFailures = jobs.get(job);
  if (jobFailures) jobFailures.isConfirmed = true;
}

/** The job's failures there are no longer held against the machine, unless they are confirmed. */
export function forgetMachineFailures(failures: MachineFailures, job: string): void {
  const { jobs } = failures;
  if (jobs.get(job)?.isConfirmed !== false) return;
  jobs.delete(job);
  if (jobs.size === 0) failures.quarantinedUntil = 0;
}

/** Whether the failures speak against the machine. */
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
