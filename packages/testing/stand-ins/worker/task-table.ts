/** The tasks of one worker, and the commands about them. */
import type { ExitCause, MachineType, Order, TaskRef, TaskStatus } from '#wire';
import type { JobProgram } from '../job-storage.js';
import { attemptKey } from '../world-state.js';
import { HostedTask } from './hosted-task.js';
import type { TaskHost } from './task-host.js';

/** The tasks that the heartbeats of a worker list, and what commands do to them. */
export class TaskTable {
  private readonly tasks = new Map<string, HostedTask>();
  /** Starts that were refused, until they are forgotten. */
  private readonly refusals = new Map<string, TaskStatus>();

  constructor(
    private readonly type: MachineType,
    private readonly host: TaskHost,
  ) {}

  all(): HostedTask[] {
    return [...this.tasks.values()];
  }

  heartbeats(): TaskStatus[] {
    return [...this.all().map((task) => task.heartbeat()), ...this.refusals.values()];
  }

  /** Carries out commands in their order. */
  execute(orders: Order[]): void {
    for (const order of orders) {
      const task = this.tasks.get(attemptKey(order));
      if (order.op === 'start') this.start(order);
      else if (order.op === 'stop') task?.stop(order.graceS);
      else this.forget(order);
    }
  }

  /** Ends and forgets all tasks. */
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
    else if (this.isPresent(ref)) this.refuse(ref, 'busy');
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

  private present(): HostedTask[] {
    return this.all().filter((task) => !task.exited);
  }

  /** The task is here with whatever attempt. */
  private isPresent({ job, index }: TaskRef): boolean {
    return this.present().some(({ ref }) => ref.job === job && ref.index === index);
  }

  private hasCapacityFor(wanted: JobProgram): boolean {
    const programs = [...this.present().map((task) => task.program), wanted];
    return (['cpus', 'gpus', 'memory'] as const).every((resource) => {
      const used = programs.reduce((sum, { job }) => sum + job[resource], 0);
      return used <= this.type[resource];
    });
  }
}
