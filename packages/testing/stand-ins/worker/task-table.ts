/** The tasks of one worker, and the execution of commands for these tasks. */
import type { ExitCause, MachineType, Order, TaskRef, TaskStatus } from '#wire';
import type { JobProgram } from '../job-storage.js';
import { attemptKey } from '../world-state.js';
import { HostedTask } from './hosted-task.js';
import type { TaskHost } from './task-host.js';

/** Holds the tasks that a worker lists in its heartbeats, and executes start, stop and forget commands. */
export class TaskTable {
  private readonly tasks = new Map<string, HostedTask>();
  /** Refused start commands, kept until a forget command removes them. */
  private readonly refusals = new Map<string, TaskStatus>();

  constructor(
    private readonly type: MachineType,
    private readonly host: TaskHost,
  ) {}

  all(): HostedTask[] {
    return [...this.tasks.values()];
  }

  statuses(): TaskStatus[] {
    return [...this.all().map((task) => task.status()), ...this.refusals.values()];
  }

  /** Executes commands in the given order. */
  execute(orders: Order[]): void {
    for (const order of orders) {
      const task = this.tasks.get(attemptKey(order));
      if (order.op === 'start') this.start(order);
      else if (order.op === 'stop') task?.stop(order.graceS);
      else this.forget(order);
    }
  }

  /** Kills and removes all tasks. */
  killAll(): void {
    for (const task of this.all()) task.kill();
    this.tasks.clear();
    this.refusals.clear();
  }

  private start({ job, index, attempt }: TaskRef): void {
    const ref = { job, index, attempt };
    const key = attemptKey(ref);
    if (this.tasks.has(key) || this.refusals.has(key)) return;
    const program = this.host.storage.get(job);
    if (!program || index >= program.job.tasks) this.refuse(ref, 'unknown');
    else if (this.hasActiveAttempt(ref)) this.refuse(ref, 'busy');
    else if (!this.hasCapacityFor(program)) this.refuse(ref, 'no_room');
    else {
      const task = new HostedTask(ref, program, this.host);
      this.tasks.set(key, task);
      task.begin();
    }
  }

  private refuse(ref: TaskRef, cause: ExitCause): void {
    this.refusals.set(attemptKey(ref), { ...ref, state: 'exited', cause, checkpointed: false });
    this.host.taskChanged();
  }

  private forget(ref: TaskRef): void {
    const key = attemptKey(ref);
    const exited = this.tasks.get(key)?.exited ? this.tasks.delete(key) : false;
    if (this.refusals.delete(key) || exited) this.host.taskChanged();
  }

  private activeTasks(): HostedTask[] {
    return this.all().filter((task) => !task.exited);
  }

  /** Whether any attempt of the task has not exited yet. */
  private hasActiveAttempt({ job, index }: TaskRef): boolean {
    return this.activeTasks().some(({ ref }) => ref.job === job && ref.index === index);
  }

  private hasCapacityFor(wanted: JobProgram): boolean {
    const programs = [...this.activeTasks().map((task) => task.program), wanted];
    return (['cpus', 'gpus', 'memory'] as const).every((resource) => {
      const used = programs.reduce((sum, { job }) => sum + job[resource], 0);
      return used <= this.type[resource];
    });
  }
}
