/** A worker of the model. */
import type { Order, Heartbeat, TaskRef, TaskStatus } from '#wire';
import { STANDARD_TYPE } from '../../samples.js';
import { attemptKey } from '../../stand-ins/index.js';

/** A task that a worker holds. */
export interface HeldTask extends TaskStatus {
  startedAt: number;
  durationS: number;
}

/** A worker's machine, its lease, and hooks for its tasks. */
export interface WorkerModelOptions {
  name: string;
  zone: string;
  spot: boolean;
  leaseS: number;
  /** How long the tasks of a job run; seconds. */
  taskDurationS: (job: string) => number;
  /** Called for each task that the worker starts. */
  onStart: (worker: WorkerModel, task: HeldTask) => void;
}

/** A worker that follows the protocol: fencing tokens, agent epochs, leases, orders. */
export class WorkerModel {
  readonly name: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The tasks that heartbeats list, by attempt. */
  readonly tasks = new Map<string, HeldTask>();
  private agentEpoch = 1;
  private sequence = 0;
  private fencingToken = 0;
  /** When the last answered heartbeat was sent. */
  private renewedAt = 0;

  constructor(private readonly options: WorkerModelOptions) {
    ({ name: this.name, zone: this.zone, spot: this.spot } = options);
  }

  /** The tasks on the machine that have not exited. */
  presentTasks(): HeldTask[] {
    return [...this.tasks.values()].filter((task) => task.state !== 'exited');
  }

  /** Ends all tasks and the agent epoch if the lease has expired; advances all remaining tasks. */
  advance(now: number): void {
    if (now - this.renewedAt > this.options.leaseS) {
      this.tasks.clear();
      this.agentEpoch++;
      this.renewedAt = now;
    }
    for (const task of this.tasks.values()) advanceTask(task, now);
  }

  heartbeat(): Heartbeat {
    this.sequence++;
    const { name, zone, spot, agentEpoch, sequence, fencingToken } = this;
    const tasks = [...this.tasks.values()].map(
      ({ job, index, attempt, state, cause, checkpointed }) => ({
        job,
        index,
        attempt,
        state,
        cause,
        checkpointed,
      }),
    );
    return {
      machine: name,
      addr: '127.0.0.1:1',
      type: STANDARD_TYPE.name,
      zone,
      spot,
      agentEpoch,
      sequence,
      fencingToken,
      noticeS: null,
      tasks,
    };
  }

  /** Handles the answer to the heartbeat `answered`, unless its fencing token or agent epoch is outdated. */
  handleAnswer(
    answered: { agentEpoch: number; sentAt: number },
    fencingToken: number,
    orders: Order[],
    now: number,
  ): void {
    if (fencingToken < this.fencingToken || answered.agentEpoch !== this.agentEpoch) return;
    this.fencingToken = fencingToken;
    this.renewedAt = Math.max(this.renewedAt, answered.sentAt);
    this.execute(orders, now);
  }

  /** Executes a direct command unless its fencing token or agent epoch is outdated; returns null in that case. */
  handleCommand(
    fencingToken: number,
    agentEpoch: number,
    orders: Order[],
    now: number,
  ): Heartbeat | null {
    if (fencingToken < this.fencingToken || agentEpoch !== this.agentEpoch) return null;
    this.fencingToken = fencingToken;
    this.execute(orders, now);
    return this.heartbeat();
  }

  private execute(orders: Order[], now: number): void {
    for (const order of orders) {
      const key = attemptKey(order);
      const held = this.tasks.get(key);
      if (order.op === 'start') {
        if (!held) this.start(key, order, now);
      } else if (order.op === 'forget') {
        if (held?.state === 'exited') this.tasks.delete(key);
      } else if (held && held.state !== 'exited') {
        held.state = 'exited';
        held.cause = 'stopped';
      }
    }
  }

  /** Whether another attempt of the task is on the machine. */
  private isBusy({ job, index }: TaskRef): boolean {
    return this.presentTasks().some((task) => task.job === job && task.index === index);
  }

  private start(key: string, ref: TaskRef, now: number): void {
    const { job, index, attempt } = ref;
    const { taskDurationS, onStart } = this.options;
    const isBusy = this.isBusy(ref);
    const task: HeldTask = {
      job,
      index,
      attempt,
      state: isBusy ? 'exited' : 'fetching',
      cause: isBusy ? 'busy' : null,
      checkpointed: false,
      startedAt: now,
      durationS: taskDurationS(job),
    };
    this.tasks.set(key, task);
    if (!isBusy) onStart(this, task);
  }
}

function advanceTask(task: HeldTask, now: number): void {
  if (task.state === 'fetching') task.state = 'running';
  else if (task.state === 'running' && now - task.startedAt >= task.durationS) {
    task.state = 'exited';
    task.cause = 'done';
  }
}
