import {
  countJobFailure,
  forgetJobFailures,
  isCrashLooping,
  Random,
  retryWaitS,
  unknownWaitS,
  provesJob,
} from './job-failures.js';
import type { EndCause } from '../model/end-cause.js';
import type { FleetListener } from '../model/listener.js';
import { blameMachine, clearMachine, confirmBlame, isFaulty } from './machine-failures.js';
import type { MachineRegistry } from '../model/machine-registry.js';
import type { FleetSettings } from '../model/fleet-settings.js';
import type { Assignment, JobState, Machine } from '../model/model.js';
import type { CapacityHolds } from '../preemption/capacity-holds.js';
import type { UsageLedger } from '../fair-share/usage-ledger.js';

/** In report periods: how long a machine takes nothing new after it refused a task. */
const CORDON_AFTER_REFUSAL = 2;
/** In report periods: how long a job that failed on one machine waits for a place on another. */
const TRY_ELSEWHERE = 16;
/** Tasks of a suspect job that are tried at once; a gang is tried as a whole. */
const PROBE_TASKS = 2;
/** Suspect jobs that are tried at once. */
const PROBED_JOBS = 8;
/** In leases: the least time that a failed attempt is charged for. */
const LEAST_CHARGE = 3;
/** In leases: a suspect job that finds no place for so long may ask for room after all. */
const OVERDUE = 24;
/** In leases: no two machines are given back for failures within this time. */
const DRAIN_PAUSE = 3;

/** What a tracker works on. */
export interface FailureTrackerOptions {
  settings: FleetSettings;
  machines: MachineRegistry;
  usage: UsageLedger;
  holds: CapacityHolds;
  listener: FleetListener;
  random: Random;
}

/**
 * Judges whether failures are the job's fault or the machine's, and limits what a suspect job may use
 * (docs/design.md, "Failing jobs"). Nothing of it is recorded: a new owner learns it anew. Times are
 * seconds of the steady clock.
 */
export class FailureTracker {
  /** Jobs whose tasks failed on several machines while none succeeded. */
  readonly crashLoopingJobs = new Set<JobState>();
  private nextDrainAt = -Infinity;

  constructor(private readonly options: FailureTrackerOptions) {}

  /** A task has left its machine without being done. */
  taskEnded(assignment: Assignment, cause: EndCause, now: number): void {
    const { job, machine } = assignment;
    const { heartbeatIntervalS } = this.options.settings;
    if (cause === 'error') this.taskFailed(assignment, now);
    else if (cause === 'unknown') {
      job.failures.unknownStarts++;
      job.backoffUntil = now + unknownWaitS(job.failures, heartbeatIntervalS);
    } else if (cause === 'no_room' || cause === 'busy') {
      machine.cordonedUntil = Math.max(
        machine.cordonedUntil,
        now + CORDON_AFTER_REFUSAL * heartbeatIntervalS,
      );
    }
  }

  /** A task is seen to run. Only one that runs longer than failures took proves its job. */
  taskRuns({ job, machine, runningSince }: Assignment, now: number): void {
    const { failures } = job;
    failures.unknownStarts = 0;
    if (failures.attempts === 0 || runningSince === null) return;
    const { leaseS } = this.options.settings;
    if (provesJob(failures, now - runningSince, leaseS)) this.jobSucceeded(job, machine, now);
  }

  /** A task of the job has completed on the machine. */
  taskCompleted({ job, machine }: Assignment, now: number): void {
    if (job.failures.attempts > 0) this.jobSucceeded(job, machine, now);
  }

  /** The job is over. */
  jobClosed(job: JobState): void {
    this.crashLoopingJobs.delete(job);
    this.clearMachines(job);
  }

  /** How many tasks of the job may be started now; a gang or replica is started as a whole if any may. */
  startableTasks(job: JobState): number {
    if (!this.crashLoopingJobs.has(job)) return Infinity;
    if (job.assignments.size === 0 && this.hasEnoughProbes()) return 0;
    const startsAsWhole = job.spec.kind === 'gang' || job.replicas !== null;
    if (startsAsWhole) return job.assignments.size === 0 ? Infinity : 0;
    return Math.max(0, PROBE_TASKS - job.assignments.size);
  }

  /** Whether the job is not to be tried there: it failed there, and has not been tried elsewhere since. */
  isExcluded({ failures }: JobState, machine: Machine, now: number): boolean {
    if (failures.attempts === 0 || isCrashLooping(failures)) return false;
    const avoidedS = TRY_ELSEWHERE * this.options.settings.heartbeatIntervalS;
    return failures.machines.has(machine.name) && now - failures.countedAt < avoidedS;
  }

  /** Whether work may be stopped, machines kept free or rented for the job's waiting tasks. */
  mayRequestCapacity(job: JobState, now: number): boolean {
    if (!this.crashLoopingJobs.has(job)) return true;
    return now - job.backoffUntil > OVERDUE * this.options.settings.leaseS;
  }

  private hasEnoughProbes(): boolean {
    let probed = 0;
    for (const { assignments } of this.crashLoopingJobs) {
      if (assignments.size > 0 && ++probed >= PROBED_JOBS) return true;
    }
    return false;
  }

  private taskFailed(assignment: Assignment, now: number): void {
    const { job, machine, assignedAt, runningSince } = assignment;
    const { settings, random } = this.options;
    const ranS = now - (runningSince ?? now);
    const failed = { machine: machine.name, assignedAt, ranS };
    const { isNewAttempt, isNewMachine } = countJobFailure(job.failures, failed, now);
    this.charge(assignment, isNewAttempt, now);
    if (!isNewAttempt && !isNewMachine) return;
    job.backoffUntil = now + retryWaitS(job.failures, settings.heartbeatIntervalS, random);
    if (isCrashLooping(job.failures)) this.markCrashLooping(job, now);
    else this.blameMachineFor(machine, job, now);
  }

  /** Quick failures earn hardly any service, so their team would keep winning. */
  private charge(assignment: Assignment, isNewAttempt: boolean, now: number): void {
    const { job, share, assignedAt } = assignment;
    const { settings, usage } = this.options;
    const isGang = job.spec.kind === 'gang';
    // All tasks of a gang's attempt are charged for with the first that fails.
    if (isGang && !isNewAttempt) return;
    const missingS = Math.max(0, LEAST_CHARGE * settings.leaseS - (now - assignedAt));
    usage.charge(job, share * missingS * (isGang ? job.spec.tasks : 1), now);
  }

  private markCrashLooping(job: JobState, now: number): void {
    this.clearMachines(job);
    if (this.crashLoopingJobs.has(job)) return;
    this.crashLoopingJobs.add(job);
    this.options.holds.releaseFor(job);
    this.options.listener.jobCrashLooping(job, now);
  }

  private clearMachines(job: JobState): void {
    for (const name of job.failures.machines) {
      const machine = this.options.machines.get(name);
      if (machine) clearMachine(machine.failures, job.spec.id);
    }
  }

  private blameMachineFor(machine: Machine, job: JobState, now: number): void {
    blameMachine(machine.failures, job.spec.id, this.options.settings.heartbeatIntervalS, now);
    this.drainIfFaulty(machine, now);
  }

  private jobSucceeded(job: JobState, on: Machine, now: number): void {
    const wasCrashLooping = this.crashLoopingJobs.delete(job);
    // Those of a suspect job are cleared already.
    for (const name of job.failures.machines) {
      const machine = this.options.machines.get(name);
      if (!machine) continue;
      if (machine === on) clearMachine(machine.failures, job.spec.id);
      else confirmBlame(machine.failures, job.spec.id);
      this.drainIfFaulty(machine, now);
    }
    forgetJobFailures(job.failures);
    job.backoffUntil = 0;
    if (wasCrashLooping) this.options.listener.jobRecovered(job, now);
  }

  private drainIfFaulty(machine: Machine, now: number): void {
    if (machine.draining || now < this.nextDrainAt || !isFaulty(machine.failures)) return;
    this.nextDrainAt = now + DRAIN_PAUSE * this.options.settings.leaseS;
    this.options.machines.drain(machine);
    this.options.listener.machineFaulty(machine, now);
  }
}
