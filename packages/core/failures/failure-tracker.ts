/** The consequences of failed tasks for their jobs and for the machines on which they failed. */
import {
  countJobFailure,
  forgetJobFailures,
  isCrashLooping,
  type Random,
  retryBackoffS,
  unknownJobBackoffS,
  clearsJobFailures,
} from './job-failures.js';
import type { EndCause } from '../model/end-cause.js';
import type { FleetListener } from '../model/listener.js';
import {
  confirmMachineFailures,
  countMachineFailure,
  forgetMachineFailures,
  isFaulty,
} from './machine-failures.js';
import type { MachineRegistry } from '../model/machine-registry.js';
import type { FleetSettings } from '../model/fleet-settings.js';
import type { Assignment, JobState, Machine } from '../model/entities.js';
import type { CapacityHolds } from '../preemption/capacity-holds.js';
import type { UsageLedger } from '../fair-share/usage-ledger.js';

/** In heartbeat intervals: how long a machine is cordoned after it refused a task. */
const REFUSAL_CORDON_INTERVALS = 2;
/** In heartbeat intervals: how long a job that failed on one machine is placed on other machines only. */
const EXCLUSION_INTERVALS = 16;
/** Tasks of a crash-looping job that may be assigned at once. A gang or replica is started as a whole instead. */
const MAX_PROBE_TASKS = 2;
/** Crash-looping jobs that may have assigned tasks at the same time. */
const MAX_PROBED_JOBS = 8;
/** In worker leases: the minimum time that a failed attempt is charged for. */
const MIN_CHARGED_LEASES = 3;
/** In worker leases: how long after its backoff a crash-looping job without a machine may request capacity again. */
const CAPACITY_REQUEST_DELAY_LEASES = 24;
/** In worker leases: the minimum time between the drains of two faulty machines. */
const MIN_LEASES_BETWEEN_DRAINS = 3;

/** The parts of the fleet that a `FailureTracker` reads and updates. */
export interface FailureTrackerOptions {
  settings: FleetSettings;
  machines: MachineRegistry;
  usage: UsageLedger;
  holds: CapacityHolds;
  listener: FleetListener;
  /** Source of jitter for retries. */
  random: Random;
}

/**
 * Decides whether failures are the job's fault or the machine's, limits what a crash-looping job may use, and drains
 * faulty machines (docs/design.md, "Failing jobs"). Failures are not recorded: a new leader counts them from zero.
 * Times are seconds of the monotonic clock.
 */
export class FailureTracker {
  /** Jobs whose tasks failed on several machines while none succeeded. */
  readonly crashLoopingJobs = new Set<JobState>();
  private earliestDrainAt = -Infinity;

  constructor(private readonly options: FailureTrackerOptions) {}

  /** Handles the end of a task that is not done. */
  taskEnded(assignment: Assignment, cause: EndCause, now: number): void {
    const { job, machine } = assignment;
    const { heartbeatIntervalS } = this.options.settings;
    if (cause === 'error') this.recordTaskFailure(assignment, now);
    else if (cause === 'unknown') {
      job.failures.unknownStarts++;
      job.backoffUntil = now + unknownJobBackoffS(job.failures, heartbeatIntervalS);
    } else if (cause === 'no_room' || cause === 'busy') {
      machine.cordonedUntil = Math.max(
        machine.cordonedUntil,
        now + REFUSAL_CORDON_INTERVALS * heartbeatIntervalS,
      );
    }
  }

  /** Handles a running task. Only a task that runs for longer than the failed ones clears its job of failures. */
  taskRunning({ job, machine, runningSince }: Assignment, now: number): void {
    const { failures } = job;
    failures.unknownStarts = 0;
    if (failures.attempts === 0 || runningSince === null) return;
    const { leaseS } = this.options.settings;
    if (clearsJobFailures(failures, now - runningSince, leaseS))
      this.jobSucceeded(job, machine, now);
  }

  /** Clears the job of failures after one of its tasks has completed. */
  taskCompleted({ job, machine }: Assignment, now: number): void {
    if (job.failures.attempts > 0) this.jobSucceeded(job, machine, now);
  }

  /** Forgets the failures of a job that was done or cancelled. */
  jobClosed(job: JobState): void {
    this.crashLoopingJobs.delete(job);
    this.forgetMachineFailuresOf(job);
  }

  /** How many tasks of the job may be started now; a gang or replica is started as a whole if any may. */
  maxStartableTasks(job: JobState): number {
    if (!this.crashLoopingJobs.has(job)) return Infinity;
    if (job.assignments.size === 0 && this.isProbeLimitReached()) return 0;
    const startsAsWhole = job.spec.kind === 'gang' || job.replicas !== null;
    if (startsAsWhole) return job.assignments.size === 0 ? Infinity : 0;
    return Math.max(0, MAX_PROBE_TASKS - job.assignments.size);
  }

  /** Whether the job must not be placed on the machine: it failed there, and must be tried on another one first. */
  isExcluded({ failures }: JobState, machine: Machine, now: number): boolean {
    if (failures.attempts === 0 || isCrashLooping(failures)) return false;
    const excludedS = EXCLUSION_INTERVALS * this.options.settings.heartbeatIntervalS;
    return failures.machines.has(machine.name) && now - failures.countedAt < excludedS;
  }

  /** Whether work may be preempted, machines kept free or capacity scaled out for the job's waiting tasks. */
  mayRequestCapacity(job: JobState, now: number): boolean {
    if (!this.crashLoopingJobs.has(job)) return true;
    return now - job.backoffUntil > CAPACITY_REQUEST_DELAY_LEASES * this.options.settings.leaseS;
  }

  private isProbeLimitReached(): boolean {
    let probedJobs = 0;
    for (const { assignments } of this.crashLoopingJobs) {
      if (assignments.size > 0 && ++probedJobs >= MAX_PROBED_JOBS) return true;
    }
    return false;
  }

  private recordTaskFailure(assignment: Assignment, now: number): void {
    const { job, machine, assignedAt, runningSince } = assignment;
    const { settings, random } = this.options;
    const ranS = now - (runningSince ?? now);
    const failedTask = { machine: machine.name, assignedAt, ranS };
    const { isNewAttempt, isNewMachine } = countJobFailure(job.failures, failedTask, now);
    this.chargeMinimumService(assignment, isNewAttempt, now);
    if (!isNewAttempt && !isNewMachine) return;
    job.backoffUntil = now + retryBackoffS(job.failures, settings.heartbeatIntervalS, random);
    if (isCrashLooping(job.failures)) this.markCrashLooping(job, now);
    else this.recordMachineFailure(machine, job, now);
  }

  /**
   * Charges a failed attempt for a minimum time. Otherwise tasks that fail quickly would add hardly any service, and
   * their team would be served first again and again.
   */
  private chargeMinimumService(assignment: Assignment, isNewAttempt: boolean, now: number): void {
    const { job, share, assignedAt } = assignment;
    const { settings, usage } = this.options;
    const isGang = job.spec.kind === 'gang';
    // The first task of a gang's attempt that fails is charged for all tasks of the attempt.
    if (isGang && !isNewAttempt) return;
    const missingS = Math.max(0, MIN_CHARGED_LEASES * settings.leaseS - (now - assignedAt));
    usage.charge(job, share * missingS * (isGang ? job.spec.tasks : 1), now);
  }

  private markCrashLooping(job: JobState, now: number): void {
    this.forgetMachineFailuresOf(job);
    if (this.crashLoopingJobs.has(job)) return;
    this.crashLoopingJobs.add(job);
    this.options.holds.releaseFor(job);
    this.options.listener.jobCrashLooping(job, now);
  }

  private forgetMachineFailuresOf(job: JobState): void {
    for (const name of job.failures.machines) {
      const machine = this.options.machines.get(name);
      if (machine) forgetMachineFailures(machine.failures, job.spec.id);
    }
  }

  private recordMachineFailure(machine: Machine, job: JobState, now: number): void {
    countMachineFailure(
      machine.failures,
      job.spec.id,
      this.options.settings.heartbeatIntervalS,
      now,
    );
    this.drainIfFaulty(machine, now);
  }

  private jobSucceeded(job: JobState, succeededOn: Machine, now: number): void {
    const wasCrashLooping = this.crashLoopingJobs.delete(job);
    // The failures of a crash-looping job on its machines were forgotten when it was marked as crash-looping.
    for (const name of job.failures.machines) {
      const machine = this.options.machines.get(name);
      if (!machine) continue;
      if (machine === succeededOn) forgetMachineFailures(machine.failures, job.spec.id);
      else confirmMachineFailures(machine.failures, job.spec.id);
      this.drainIfFaulty(machine, now);
    }
    forgetJobFailures(job.failures);
    job.backoffUntil = 0;
    if (wasCrashLooping) this.options.listener.jobRecovered(job, now);
  }

  private drainIfFaulty(machine: Machine, now: number): void {
    if (machine.draining || now < this.earliestDrainAt || !isFaulty(machine.failures)) return;
    this.earliestDrainAt = now + MIN_LEASES_BETWEEN_DRAINS * this.options.settings.leaseS;
    this.options.machines.drain(machine);
    this.options.listener.machineFaulty(machine, now);
  }
}
