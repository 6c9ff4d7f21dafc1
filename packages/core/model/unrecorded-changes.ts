/** What the recorder still has to write. */

/** The done tasks of a job that has none to record. */
const NO_TASKS: ReadonlySet<number> = new Set();

/**
 * Names of what changed in memory and must still be made durable. Nothing is sent that depends on a
 * change before the recorder has written it (docs/safety.md, point 4).
 */
export class UnrecordedChanges {
  /** Names of machines whose assignments or fence changed, machines that are gone included. */
  readonly machines = new Set<string>();
  /** Those of them whose record something waits for, and the most urgent rank of that; 0 comes first. */
  readonly urgentMachines = new Map<string, number>();
  /** Ids of jobs with new done tasks. */
  readonly jobs = new Set<string>();
  /** These tasks, by job; those that end a job are recorded with its end. */
  private readonly doneTasks = new Map<string, Set<number>>();

  /** Something of that rank waits for the machine's record to be written. */
  markMachineUrgent(name: string, rank: number): void {
    this.machines.add(name);
    this.urgentMachines.set(name, Math.min(rank, this.urgentMachines.get(name) ?? Infinity));
  }

  /** The machine's present record is in a transaction. */
  machineCollected(name: string): void {
    this.machines.delete(name);
    this.urgentMachines.delete(name);
  }

  /** A task is done, and other tasks of its job are not. */
  taskDone(job: string, index: number): void {
    const tasks = this.doneTasks.get(job);
    if (tasks) tasks.add(index);
    else this.doneTasks.set(job, new Set([index]));
  }

  /** Done tasks of a job that the state service does not hold yet. */
  doneTasksOf(job: string): ReadonlySet<number> {
    return this.doneTasks.get(job) ?? NO_TASKS;
  }

  /** The state service holds that the tasks are done. */
  tasksRecorded(job: string, indexes: Iterable<number>): void {
    const tasks = this.doneTasks.get(job);
    if (!tasks) return;
    for (const index of indexes) tasks.delete(index);
    if (tasks.size === 0) this.doneTasks.delete(job);
  }

  /** The job is over, so its single tasks need not be recorded. */
  forgetJob(job: string): void {
    this.doneTasks.delete(job);
  }

  /** Whether there is something to record that may not wait for spare changes. */
  get anyUrgent(): boolean {
    return this.urgentMachines.size > 0 || this.jobs.size > 0;
  }
}
