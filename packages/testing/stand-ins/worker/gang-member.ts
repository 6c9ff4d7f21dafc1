/** One task of a gang and its link to the others. */
import type { RunningTask, TaskRun } from './task-host.js';

/** What a task of a gang tells the others, and asks of them. */
export interface GangCoordinator {
  /** A task that is not waiting was told to stop. */
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
