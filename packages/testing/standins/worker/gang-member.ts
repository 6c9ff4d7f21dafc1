import type { GangAttempt } from './gang-attempt.js';
import type { HostedTask } from './hosted-task.js';
import type { TaskRun } from './task-host.js';

/** A task of a gang. */
export class GangMember implements TaskRun {
  hasSaved = false;
  hanging = false;

  constructor(
    readonly task: HostedTask,
    private readonly gang: GangAttempt,
  ) {}

  stop(graceS: number): void {
    if (this.task.state === 'waiting') this.task.exit('stopped');
    else this.gang.stop(this, graceS);
  }

  ended(): void {
    this.gang.memberLeft(this);
  }

  hangs(hanging: boolean): void {
    this.hanging = hanging;
    this.gang.memberHangs(this);
  }

  speedChanged(): void {
    this.gang.speedChanged();
  }
}
