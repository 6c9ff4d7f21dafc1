/** Checks of the rules about tasks of a job whose cancellation was confirmed to its user. */
import type { Clock, TaskRef } from '#wire';
import type { WorldEvent } from '../events.js';
import type { Check, CheckContext } from './check.js';

/** Checks that the tasks of a cancelled job stop within `cancel_s` and do not start again. */
export class CancelChecks implements Check {
  /** When the cancellation was first confirmed, by job. */
  private readonly confirmationTimes = new Map<string, number>();

  constructor(
    private readonly context: CheckContext,
    private readonly clock: Clock,
  ) {}

  onEvent(event: WorldEvent): void {
    if (event.kind === 'task-started') this.checkStart(event.machine, event.task);
    if (event.kind !== 'answered' || event.phase !== 'aborted') return;
    const { job } = event.request;
    if (this.confirmationTimes.has(job)) return;
    this.confirmationTimes.set(job, this.context.now());
    this.clock.setTimer(
      () => {
        this.checkTasksStopped(job);
      },
      this.context.settings.cancelS * 1000 + 1,
    );
  }

  private checkStart(machine: string, task: TaskRef): void {
    const confirmedAt = this.confirmationTimes.get(task.job);
    if (confirmedAt === undefined) return;
    const agoS = this.context.now() - confirmedAt;
    this.context.recordViolation({
      rule: agoS > this.context.settings.cancelS ? 'ran_cancelled' : 'started_after_cancel',
      job: task.job,
      task,
      machines: [machine],
      explanation: `attempt ${task.attempt} starts ${agoS.toFixed(1)} s after the confirmation`,
    });
  }

  private checkTasksStopped(job: string): void {
    for (const { machine, task } of this.context.state.started(job)) {
      this.context.recordViolation({
        rule: 'ran_cancelled',
        job,
        task,
        machines: [machine],
        explanation: `still on the machine ${this.context.settings.cancelS} s after the confirmation`,
      });
    }
  }
}
