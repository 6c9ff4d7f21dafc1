/** One task of a gang and its connection to the other tasks. */
import type { RunningTask, TaskRun } from './task-host.js';

/** Receives the commands and state changes of the tasks of a gang. */
export interface GangCoordinator {
  /** Executes a stop command for a task that is not waiting. */
  stopMember(member: GangMember, graceS: number): void;
  memberLeft(member: GangMember): void;
  memberHangChanged(member: GangMember): void;
  speedChanged(): void;
}

/** A task of a gang. */
export class GangMember implements TaskRun {
  hasCheckpointed = false;
  hanging = false;

  constructor(
    readonly task: RunningTask,
    private readonly gang: GangCoordinator,
  ) {}

  stop(graceS: number): void {
    if (this.task.state === 'waiting') this.task.exit('stopped');
    else this.gang.stopMember(this, graceS);
  }

  taskLeft(): void {
    this.gang.memberLeft(this);
  }

  setHanging(hanging: boolean): void {
    this.hanging = hanging;
    this.gang.memberHangChanged(this);
  }

  speedChanged(): void {
    this.gang.speedChanged();
  }
}
