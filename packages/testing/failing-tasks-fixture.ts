import type { Job } from '#wire';
import { assignmentsOf, FleetState, JobState, Machine, NO_QUOTA, Scheduler } from '#core';
import { makeFleet, makeJob, registerMachine } from './samples.js';

/** The teams of the fleet in `FailingTasksFixture`. */
export const TEAMS = new Map([
  ['red', NO_QUOTA],
  ['blue', NO_QUOTA],
]);

/** A fleet whose tasks run one second after their placement, and fail if a test says so. */
export class FailingTasksFixture {
  readonly fleet: FleetState = makeFleet();
  readonly machines: Machine[];
  readonly scheduler: Scheduler;
  /** Number of task starts by job id. */
  readonly starts = new Map<string, number>();
  now = 0;

  constructor(machineCount: number) {
    this.machines = Array.from({ length: machineCount }, (_, i) =>
      registerMachine(this.fleet, `n-${i}`),
    );
    this.scheduler = new Scheduler(this.fleet, TEAMS, {
      floorWeight: 0.05,
      stopThreshold: 0.5,
      gangLeaseS: 120,
      preemptAfterS: 2,
      decisionsPerRound: 200,
    });
  }

  submit(overrides: Partial<Job>): JobState {
    return this.fleet.addJob(makeJob(overrides), this.now, 'accepted', this.now);
  }

  /** Runs the fleet second by second; tasks for which `fails` returns true end with an error. */
  run(seconds: number, fails: (job: JobState, machine: Machine) => boolean): void {
    for (const until = this.now + seconds; this.now < until; this.now++) {
      for (const job of [...this.fleet.jobs.values()]) {
        for (const task of assignmentsOf(job)) this.processHeartbeat(task.machine, job, fails);
      }
      this.scheduler.reservations.update(this.now);
      this.scheduler.round(this.now);
    }
  }

  failTask(job: JobState, machine: Machine): void {
    const attempt = this.fleet.assignments.newAttempt();
    const [index] = this.fleet.jobs.waitingTasks(job, 1);
    const task = this.fleet.assignments.assign(job, index, machine, attempt, this.now);
    this.fleet.assignments.end(task, 'error', false, ++this.now);
  }

  private processHeartbeat(
    machine: Machine,
    job: JobState,
    fails: (job: JobState, machine: Machine) => boolean,
  ): void {
    const { assignments, failures } = this.fleet;
    for (const task of [...machine.tasks.values()]) {
      if (task.job !== job || task.assignedAt >= this.now) continue;
      if (task.stop !== null) {
        assignments.end(task, 'stopped', false, this.now);
        continue;
      }
      if (task.runningSince === null) {
        task.runningSince = this.now;
        task.reportedState = 'running';
        this.starts.set(job.spec.id, (this.starts.get(job.spec.id) ?? 0) + 1);
      }
      if (fails(job, machine)) assignments.end(task, 'error', false, this.now);
      else failures.taskRunning(task, this.now);
    }
  }
}
