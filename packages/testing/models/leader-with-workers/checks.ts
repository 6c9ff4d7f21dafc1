/** The invariants of the model of a leader with its workers: the rules of the protocol. */
import { taskName } from '#wire';
import type { DurableRecords } from './durable-records.js';
import type { LeaderViolation } from './seeded-faults.js';
import { TEAMS } from './teams.js';
import { CANCEL_S, STEP_S } from './timing.js';
import type { HeldTask, WorkerModel } from './worker.js';

/** Collects violations of the invariants by workers and records. */
export class LeaderChecks {
  readonly violations = new Set<LeaderViolation>();
  /** Indices of the tasks that workers have completed, by job. */
  private readonly doneTasks = new Map<string, Set<number>>();

  constructor(
    private readonly records: DurableRecords,
    private readonly workers: readonly WorkerModel[],
  ) {}

  /** Checks a task that a worker has just started. */
  checkStart(worker: WorkerModel, task: HeldTask): void {
    this.checkPlacement(worker, task);
    const { records, violations } = this;
    const { team } = records.jobOf(task.job);
    let gpus = 0;
    for (const other of this.allPresentTasks()) {
      const job = records.jobOf(other.job);
      if (job.team === team) gpus += job.gpus;
      const isSame = other.job === task.job && other.index === task.index;
      if (isSame && other !== task) violations.add('ran_twice');
    }
    if (gpus > (TEAMS.get(team)?.gpuLimit ?? 0)) violations.add('quota');
  }

  /** Remembers which of a worker's tasks have completed. */
  recordDone(worker: WorkerModel): void {
    for (const { job, index, state, cause } of worker.tasks.values()) {
      if (state !== 'exited' || cause !== 'done') continue;
      const done = this.doneTasks.get(job) ?? new Set();
      this.doneTasks.set(job, done.add(index));
      const { kind, tasks } = this.records.jobOf(job);
      if (kind === 'gang') for (let other = 0; other < tasks; other++) done.add(other);
    }
  }

  /** Checks the invariants that must hold after each step. */
  checkStep(now: number): void {
    const seen = new Set<string>();
    for (const worker of this.workers) {
      for (const task of worker.presentTasks()) {
        const name = taskName(task.job, task.index);
        if (seen.has(name)) this.violations.add('ran_twice');
        seen.add(name);
        this.checkRecords(worker, task, now);
      }
    }
    for (const { job, phase } of this.records.jobs.values()) {
      const isDone = (this.doneTasks.get(job.id)?.size ?? 0) >= job.tasks;
      if (phase === 'done' && !isDone) this.violations.add('not_done');
    }
  }

  /** Checks that at least one job was completed in the run. */
  checkEnd(): void {
    const phases = [...this.records.jobs.values()].map(({ phase }) => phase);
    if (!phases.includes('done')) this.violations.add('nothing_ran');
  }

  private checkPlacement(worker: WorkerModel, task: HeldTask): void {
    const job = this.records.jobOf(task.job);
    const zones = this.zonesOf(task.job);
    const maxPerZone = Math.ceil(job.tasks / 2);
    const isWrong =
      (job.spread && (zones.get(worker.zone) ?? 0) > maxPerZone) ||
      (job.oneZone && zones.size > 1) ||
      (job.zone !== null && job.zone !== worker.zone) ||
      (worker.spot && !job.spot);
    if (isWrong) this.violations.add('wrong_place');
  }

  private checkRecords(worker: WorkerModel, task: HeldTask, now: number): void {
    const { cancelledAt } = this.records.recordOf(task.job);
    if (now > cancelledAt + CANCEL_S) this.violations.add('ran_cancelled');
    // The next leader would not know of a started task that has no durable record.
    const isNew = now - task.startedAt < STEP_S;
    if (isNew && !this.records.isRecorded(worker.name, task)) this.violations.add('unrecorded');
  }

  private allPresentTasks(): HeldTask[] {
    return this.workers.flatMap((worker) => worker.presentTasks());
  }

  /** Number of the job's present tasks, by zone. */
  private zonesOf(job: string): Map<string, number> {
    const zones = new Map<string, number>();
    for (const worker of this.workers) {
      const count = worker.presentTasks().filter((task) => task.job === job).length;
      if (count > 0) zones.set(worker.zone, (zones.get(worker.zone) ?? 0) + count);
    }
    return zones;
  }
}
