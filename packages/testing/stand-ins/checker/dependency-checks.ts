/** Checks of the rules about jobs that have dependencies. */
import type { TaskRef } from '#wire';
import type { WorldEvent } from '../events.js';
import type { Check, CheckContext } from './check.js';

/**
 * Checks that no task starts before all dependencies of its job are done, and that a job is cancelled
 * within `cancel_s` after the cancellation of one of its dependencies was confirmed.
 */
export class DependencyChecks implements Check {
  constructor(private readonly context: CheckContext) {}

  onEvent(event: WorldEvent): void {
    if (event.kind === 'task-started') this.checkStart(event.machine, event.task);
    if (event.kind !== 'answered' || event.status >= 300) return;
    if (event.phase === 'pending' || event.phase === 'running') {
      this.checkUnfinished(event.request.job, event.phase);
    }
  }

  private checkStart(machine: string, task: TaskRef): void {
    for (const { job } of this.context.jobRecords.dependenciesOf(task.job)) {
      const completed = this.context.state.completedTasks(job.id).size;
      if (completed >= job.tasks) continue;
      this.context.recordViolation({
        rule: 'too_early',
        job: task.job,
        task,
        machines: [machine],
        explanation: `of its dependency ${job.id}, ${completed} of ${job.tasks} tasks have completed`,
      });
    }
  }

  private checkUnfinished(job: string, phase: string): void {
    const { jobRecords, settings } = this.context;
    const now = this.context.now();
    for (const { job: dependency, finalAnswer } of jobRecords.dependenciesOf(job)) {
      if (finalAnswer?.phase !== 'aborted' || now - finalAnswer.answeredAt <= settings.cancelS)
        continue;
      const agoS = (now - finalAnswer.answeredAt).toFixed(1);
      const explanation = `still ${phase} ${agoS} s after its dependency ${dependency.id} was cancelled`;
      this.context.recordViolation({ rule: 'orphaned', job, explanation });
    }
  }
}
