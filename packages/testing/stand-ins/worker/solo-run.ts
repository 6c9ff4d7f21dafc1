/** Execution of a task that does not belong to a gang. */
import { progressAtLastCheckpoint, type ProgressUnit } from '../job-storage.js';
import { Execution } from './execution.js';
import type { RunningTask, TaskRun } from './task-host.js';

/** Runs a task of an array, or a replica of a service. */
export class SoloRun implements TaskRun {
  private readonly execution: Execution;
  private readonly unit: ProgressUnit;

  constructor(private readonly task: RunningTask) {
    const { host, program, ref } = task;
    this.unit = { job: ref.job, index: ref.index };
    const goalS = program.job.kind === 'service' ? Infinity : program.runS[ref.index];
    const startS = host.storage.checkpointedProgress(this.unit);
    this.execution = new Execution(host.clock, goalS, startS, host.speed, () => {
      this.complete();
    });
    task.setState('running');
    this.execution.run();
    const failsAfterS = host.failsAfterS(program);
    if (failsAfterS !== null)
      task.setTimer(failsAfterS, () => {
        task.exit('error');
      });
  }

  stop(graceS: number): void {
    const { checkpointS, saveS } = this.task.program.job;
    if (this.task.state === 'saving') {
      if (graceS === 0) this.task.exit('stopped');
    } else if (checkpointS > 0 && graceS >= saveS) {
      this.execution.pause();
      this.task.setState('saving');
      this.task.setTimer(saveS, () => {
        this.checkpointWritten();
      });
    } else this.task.exit('stopped');
  }

  /** Stores the progress of the last periodic checkpoint; later progress is lost. */
  taskLeft(): void {
    this.execution.pause();
    const { checkpointS } = this.task.program.job;
    const keptS = progressAtLastCheckpoint(this.execution.progress(), checkpointS);
    this.task.host.storage.saveProgress(this.unit, keptS);
  }

  setHanging(hanging: boolean): void {
    if (this.task.state !== 'running') return;
    if (hanging) this.execution.pause();
    else this.execution.run();
  }

  speedChanged(): void {
    this.execution.setSpeed(this.task.host.speed);
  }

  private complete(): void {
    const { job, index } = this.task.ref;
    this.task.host.storage.complete(job, index);
    this.task.exit('done');
  }

  private checkpointWritten(): void {
    this.task.host.storage.saveProgress(this.unit, this.execution.progress());
    this.task.exit('stopped', true);
  }
}
