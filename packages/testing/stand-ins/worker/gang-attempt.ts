/** One attempt of a gang, from the arrival of its first task until the last has left. */
import type { Runtime, Timer } from '#wire';
import { progressAtLastCheckpoint, type JobProgram, type JobStorage } from '../job-storage.js';
import { Execution } from './execution.js';
import { type GangCoordinator, GangMember } from './gang-member.js';
import type { RunningTask, WorkerTimes } from './task-host.js';

type GangPhase =
  /** Not all tasks have joined yet. */
  | 'gathering'
  | 'running'
  /** At least one task was told to stop and is writing a checkpoint. */
  | 'stopping'
  /** All tasks were told to stop in time, and the checkpoint is written. */
  | 'checkpointed'
  /** The gang cannot go on; its other tasks have not all exited yet. */
  | 'broken'
  | 'done';

/** Shortest time until a task detects the loss of another task, as a share of `gangPeerS`. */
const MIN_DETECTION_SHARE = 0.3;

/** The tasks of one attempt of a gang, which start, progress, checkpoint and complete together. */
export class GangAttempt implements GangCoordinator {
  private phase: GangPhase = 'gathering';
  private readonly members = new Map<number, GangMember>();
  private readonly program: JobProgram;
  private readonly storage: JobStorage;
  private readonly times: WorkerTimes;
  private execution: Execution | null = null;
  private stopTimer: Timer | null = null;

  constructor(
    private readonly runtime: Runtime,
    first: RunningTask,
    private readonly onEmpty: () => void,
  ) {
    this.program = first.program;
    this.storage = first.host.storage;
    this.times = first.host.times;
  }

  /**
   * Adds a task to the gang. A task that joins after the gang has started, or whose index has already
   * joined, is not added: it waits for `gangWaitS` and exits.
   */
  join(task: RunningTask): GangMember {
    const member = new GangMember(task, this);
    task.setState('waiting');
    task.setTimer(this.times.gangWaitS, () => {
      if (task.state === 'waiting') task.exit('alone');
    });
    if (this.phase === 'gathering' && !this.members.has(task.ref.index)) {
      this.members.set(task.ref.index, member);
      this.startIfComplete();
    }
    return member;
  }

  memberLeft(member: GangMember): void {
    const { index } = member.task.ref;
    if (this.members.get(index) !== member) return;
    this.members.delete(index);
    if (this.phase === 'running' || this.phase === 'stopping') this.handleMemberLoss();
    if (this.members.size === 0) this.dispose();
  }

  memberHangChanged(member: GangMember): void {
    if (this.members.get(member.task.ref.index) !== member) return;
    if (this.phase === 'gathering') this.startIfComplete();
    else if (this.phase === 'running') this.pauseWhileHanging();
  }

  speedChanged(): void {
    this.execution?.setSpeed(this.speed());
  }

  /** Executes a stop command for a task that is not waiting. */
  stopMember(member: GangMember, graceS: number): void {
    const { checkpointS, saveS } = this.program.job;
    const { task } = member;
    const canCheckpoint = this.phase === 'running' || this.phase === 'stopping';
    if (task.state === 'saving') {
      if (graceS === 0) task.exit('stopped');
    } else if (canCheckpoint && checkpointS > 0 && graceS >= saveS) {
      if (this.phase === 'running') this.beginStop();
      task.setState('saving');
      task.setTimer(saveS, () => {
        member.hasCheckpointed = true;
        this.exitCheckpointed();
      });
      this.exitCheckpointed();
    } else task.exit('stopped');
  }

  private startIfComplete(): void {
    if (this.members.size < this.program.job.tasks || this.hasHangingMember()) return;
    this.phase = 'running';
    const unit = this.progressUnit();
    this.execution = new Execution(
      this.runtime.clock,
      this.program.runS[0],
      this.storage.checkpointedProgress(unit),
      this.speed(),
      () => {
        this.complete();
      },
    );
    for (const { task } of this.members.values()) {
      task.setState('running');
      const failsAfterS = task.host.failsAfterS(this.program);
      if (failsAfterS !== null)
        task.setTimer(failsAfterS, () => {
          task.exit('error');
        });
    }
    this.execution.run();
  }

  private complete(): void {
    this.phase = 'done';
    const members = [...this.members.values()];
    for (const { task } of members) this.storage.complete(task.ref.job, task.ref.index);
    for (const { task } of members) task.exit('done');
  }

  private pauseWhileHanging(): void {
    if (!this.hasHangingMember()) {
      this.execution?.run();
      return;
    }
    this.execution?.pause();
    this.scheduleLossDetection();
  }

  /** After a random delay, each task exits if the gang is broken or the machine of another task hangs. */
  private scheduleLossDetection(): void {
    for (const member of this.members.values()) {
      const share = MIN_DETECTION_SHARE + (1 - MIN_DETECTION_SHARE) * this.runtime.random();
      member.task.setTimer(share * this.times.gangPeerS, () => {
        const othersHang = [...this.members.values()].some((m) => m !== member && m.hanging);
        if (this.phase === 'broken' || othersHang) member.task.exit('peers');
      });
    }
  }

  private handleMemberLoss(): void {
    this.phase = 'broken';
    this.rollBackToCheckpoint();
    this.scheduleLossDetection();
  }

  /** Stores the progress of the last periodic checkpoint; later progress is lost. */
  private rollBackToCheckpoint(): void {
    this.execution?.pause();
    const progressS = this.execution?.progress() ?? 0;
    const { checkpointS } = this.program.job;
    this.storage.saveProgress(
      this.progressUnit(),
      progressAtLastCheckpoint(progressS, checkpointS),
    );
  }

  private beginStop(): void {
    this.phase = 'stopping';
    this.execution?.pause();
    const delayMs = this.times.gangPeerS * 1000;
    this.stopTimer = this.runtime.clock.setTimer(() => {
      this.handleStopTimeout();
    }, delayMs);
  }

  /** Ends the stop without a checkpoint if not all tasks were told to stop within `gangPeerS`. */
  private handleStopTimeout(): void {
    if (this.phase !== 'stopping') return;
    if (this.allSaving()) return;
    this.phase = 'broken';
    this.rollBackToCheckpoint();
    for (const { task } of [...this.members.values()]) {
      const cause = task.state === 'saving' ? 'stopped' : 'peers';
      task.setTimer(0, () => {
        task.exit(cause);
      });
    }
  }

  /** Lets tasks that have written their checkpoint exit, once all tasks have been told to stop. */
  private exitCheckpointed(): void {
    const checkpointing = this.phase === 'stopping' || this.phase === 'checkpointed';
    if (!checkpointing || !this.allSaving()) return;
    for (const member of [...this.members.values()]) {
      if (!member.hasCheckpointed) continue;
      if (this.phase === 'stopping') {
        this.phase = 'checkpointed';
        this.storage.saveProgress(this.progressUnit(), this.execution?.progress() ?? 0);
      }
      member.task.exit('stopped', true);
    }
  }

  private allSaving(): boolean {
    const members = [...this.members.values()];
    const complete = this.phase === 'checkpointed' || members.length === this.program.job.tasks;
    return complete && members.every(({ task }) => task.state === 'saving');
  }

  private hasHangingMember(): boolean {
    return [...this.members.values()].some((member) => member.hanging);
  }

  private speed(): number {
    return Math.min(...[...this.members.values()].map(({ task }) => task.host.speed));
  }

  private progressUnit() {
    return { job: this.program.job.id, index: 'gang' as const };
  }

  private dispose(): void {
    this.stopTimer?.cancel();
    this.execution?.pause();
    this.onEmpty();
  }
}
