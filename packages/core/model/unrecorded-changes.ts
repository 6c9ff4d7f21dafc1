/** Changes that the recorder still has to write. */

/** The unrecorded done tasks of a job that has none. */
const NO_TASKS: ReadonlySet<number> = new Set();

/**
 * Names of machines and jobs that changed in memory and must still be made durable. No message that depends on a change
 * is sent before the recorder has written the change (docs/safety.md, point 4).
 */
export class UnrecordedChanges {
  /** Names of machines whose assignments or fence changed, including machines that are gone. */
  readonly machines = new Set<string>();
  /**
   * Names from `machines` whose record must be written before some work can continue, with the most urgent rank of that
   * work; 0 is the most urgent.
   */
  readonly urgentMachines = new Map<string, number>();
  /** Ids of jobs with new done tasks. */
  readonly jobs = new Set<string>();
  /** Unrecorded done tasks by job id. Those that end a job are recorded with the job's end. */
  private readonly doneTasks = new Map<string, Set<number>>();

  /** Marks the machine's record as urgent: work of the given rank cannot continue before the record is written. */
  markMachineUrgent(name: string, rank: number): void {
    this.machines.add(name);
    this.urgentMachines.set(name, Math.min(rank, this.urgentMachines.get(name) ?? Infinity));
  }

  /** Removes the machine from the changes, since its current record is now part of a transaction. */
  machineCollected(name: string): void {
    this.machines.delete(name);
    this.urgentMachines.delete(name);
  }

  /** Adds a done task of a job that has other tasks that are not done. */
  taskDone(job: string, index: number): void {
    const tasks = this.doneTasks.get(job);
    if (tasks) tasks.add(index);
    else this.doneTasks.set(job, new Set([index]));
  }

  /** Done tasks of a job that the state service does not hold yet. */
  doneTasksOf(job: string): ReadonlySet<number> {
    return this.doneTasks.get(job) ?? NO_TASKS;
  }

  /** Removes done tasks that the state service now holds as done. */
  tasksRecorded(job: string, indexes: Iterable<number>): void {
    const tasks = this.doneTasks.get(job);
    if (!tasks) return;
    for (const index of indexes) tasks.delete(index);
    if (tasks.size === 0) this.doneTasks.delete(job);
  }

  /** Forgets the done tasks of a job that was done or cancelled: they need not be recorded one by one. */
  forgetJob(job: string): void {
    this.doneTasks.delete(job);
  }

  /** Whether some change is urgent: it must not wait until the recorder's budget has spare capacity. */
  get hasUrgentChanges(): boolean {
    return this.urgentMachines.size > 0 || this.jobs.size > 0;
  }
}
