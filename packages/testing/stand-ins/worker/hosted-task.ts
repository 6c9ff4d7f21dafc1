/** One attempt of a task on one machine. */
import type { ExitCause, TaskRef, TaskStatus, TaskState, Timer } from '#wire';
import type { LeaveCause } from '../events.js';
import type { JobProgram } from '../job-storage.js';
import type { ImageClaim } from './image-cache.js';
import { SoloRun } from './solo-run.js';
import type { RunningTask, TaskHost, TaskRun } from './task-host.js';

/** One attempt of a task on one machine, from its start command until it is forgotten. */
export class HostedTask implements RunningTask {
  state: TaskState = 'fetching';
  private cause: ExitCause | null = null;
  private checkpointed = false;
  private claim: ImageClaim | null = null;
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

  heartbeat(): TaskStatus {
    const { state, cause, checkpointed } = this;
    return { ...this.ref, state, cause, checkpointed };
  }

  /** Waits for its image, then runs. */
  begin(): void {
    const { image, imageGb } = this.program.job;
    this.host.observer({ kind: 'task-assigned', machine: this.host.machine, task: this.ref });
    this.host.taskChanged();
    this.claim = this.host.images.claim(image, imageGb, () => {
      this.start();
    });
    if (this.claim.ready) this.start();
  }

  /** Carries out a stop command. */
  stop(graceS: number): void {
    if (this.exited) return;
    if (this.run === null) this.exit('stopped');
    else this.run.stop(graceS);
  }

  /** The lease has ended or the machine is gone. */
  kill(): void {
    if (!this.exited) this.leave('killed');
  }

  exit(cause: ExitCause, checkpointed = false): void {
    if (this.exited) return;
    this.cause = cause;
    this.checkpointed = checkpointed;
    this.leave(cause);
    this.host.taskChanged();
  }

  enter(state: TaskState): void {
    this.state = state;
    this.host.taskChanged();
  }

  hangs(hanging: boolean): void {
    if (!this.exited) this.run?.hangs(hanging);
  }

  speedChanged(): void {
    if (!this.exited) this.run?.speedChanged();
  }

  /** Calls back after so many seconds of the machine's clock unless the task has left by then. */
  after(seconds: number, callback: () => void): void {
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

  private leave(cause: LeaveCause): void {
    this.state = 'exited';
    for (const timer of this.timers) timer.cancel();
    this.timers.clear();
    this.claim?.release();
    this.run?.ended();
    const { machine, observer } = this.host;
    observer({ kind: 'task-left', machine, task: this.ref, cause });
  }
}
