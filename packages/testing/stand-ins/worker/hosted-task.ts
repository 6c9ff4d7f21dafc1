/** One attempt of a task on one machine. */
import type { ExitCause, TaskRef, TaskStatus, TaskState, Timer } from '#wire';
import type { LeaveCause } from '../events.js';
import type { JobProgram } from '../job-storage.js';
import type { ImageClaim } from './image-cache.js';
import { SoloRun } from './solo-run.js';
import type { RunningTask, TaskHost, TaskRun } from './task-host.js';

/** One attempt of a task on one machine, from its start command until a forget command removes it. */
export class HostedTask implements RunningTask {
  state: TaskState = 'fetching';
  private cause: ExitCause | null = null;
  private checkpointed = false;
  private imageClaim: ImageClaim | null = null;
  private run: TaskRun | null = null;
  private readonly timers = new Set<Timer>();

  constructor(
    readonly ref: TaskRef,
    readonly program: JobProgram,
    readonly host: TaskHost,
  ) {}

  get exited(): boolean {
    return this.state === 'exited';
  }

  status(): TaskStatus {
    const { state, cause, checkpointed } = this;
    return { ...this.ref, state, cause, checkpointed };
  }

  /** Fetches the image of the task, then runs the task. */
  begin(): void {
    const { image, imageGb } = this.program.job;
    this.host.observer({ kind: 'task-assigned', machine: this.host.machine, task: this.ref });
    this.host.taskChanged();
    this.imageClaim = this.host.images.claim(image, imageGb, () => {
      this.start();
    });
    if (this.imageClaim.ready) this.start();
  }

  /** Executes a stop command. */
  stop(graceS: number): void {
    if (this.exited) return;
    if (this.run === null) this.exit('stopped');
    else this.run.stop(graceS);
  }

  /** Ends the task because the worker's lease has expired or the machine is gone. */
  kill(): void {
    if (!this.exited) this.cleanUp('killed');
  }

  exit(cause: ExitCause, checkpointed = false): void {
    if (this.exited) return;
    this.cause = cause;
    this.checkpointed = checkpointed;
    this.cleanUp(cause);
    this.host.taskChanged();
  }

  setState(state: TaskState): void {
    this.state = state;
    this.host.taskChanged();
  }

  setHanging(hanging: boolean): void {
    if (!this.exited) this.run?.setHanging(hanging);
  }

  speedChanged(): void {
    if (!this.exited) this.run?.speedChanged();
  }

  /** Calls back after the given seconds of the machine's clock, unless the task has exited by then. */
  setTimer(seconds: number, callback: () => void): void {
    const timer = this.host.clock.setTimer(() => {
      this.timers.delete(timer);
      callback();
    }, seconds * 1000);
    this.timers.add(timer);
  }

  private start(): void {
    const { host, program, ref } = this;
    host.observer({ kind: 'task-started', machine: host.machine, task: ref });
    if (host.storage.isDone(ref.job, ref.index)) {
      this.exit('done');
      return;
    }
    const isGang = program.job.kind === 'gang';
    this.run = isGang ? host.gangs.join(this) : new SoloRun(this);
  }

  private cleanUp(cause: LeaveCause): void {
    this.state = 'exited';
    for (const timer of this.timers) timer.cancel();
    this.timers.clear();
    this.imageClaim?.release();
    this.run?.taskLeft();
    const { machine, observer } = this.host;
    observer({ kind: 'task-left', machine, task: this.ref, cause });
  }
}
