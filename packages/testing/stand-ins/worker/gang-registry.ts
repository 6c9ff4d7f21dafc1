/** Lets the tasks of a gang on different machines find each other. */
import type { Runtime } from '#wire';
import { GangAttempt } from './gang-attempt.js';
import type { GangRendezvous, RunningTask, TaskRun } from './task-host.js';

/** Gang attempts by job and attempt number. */
export class GangRegistry implements GangRendezvous {
  private readonly attempts = new Map<string, GangAttempt>();

  constructor(private readonly runtime: Runtime) {}

  /** Adds a task that has its image to its attempt, which is created if the task is the first. */
  join(task: RunningTask): TaskRun {
    const key = `${task.ref.job} ${task.ref.attempt}`;
    const known = this.attempts.get(key);
    if (known) return known.join(task);
    const attempt = new GangAttempt(this.runtime, task, () => this.attempts.delete(key));
    this.attempts.set(key, attempt);
    return attempt.join(task);
  }
}
