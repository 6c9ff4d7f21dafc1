/** Finds the waiting tasks of a job without a list of them, since a job may have many thousands. */
import type { JobState } from './entities.js';

/** How many tasks of the job wait for a machine; none while it has open dependencies or once it is done or cancelled. */
export function countWaitingTasks(job: JobState): number {
  if (job.phase !== 'accepted' || job.hasOpenDependencies) return 0;
  return Math.max(0, job.spec.tasks - job.done.size - job.assignments.size);
}

/**
 * Up to `limit` tasks that wait for a machine: first those that lost one, then the others by index. Advances the job's
 * `scanFrom` past tasks that no longer wait, and removes such tasks from `requeuedTasks`.
 */
export function findWaitingTasks(job: JobState, limit: number): number[] {
  const isWaiting = (index: number) => !job.done.has(index) && !job.assignments.has(index);
  const found: number[] = [];
  for (const index of job.requeuedTasks) {
    if (found.length === limit) return found;
    if (isWaiting(index)) found.push(index);
    else job.requeuedTasks.delete(index);
  }
  while (job.scanFrom < job.spec.tasks && !isWaiting(job.scanFrom)) job.scanFrom++;
  for (let index = job.scanFrom; index < job.spec.tasks && found.length < limit; index++) {
    if (isWaiting(index) && !job.requeuedTasks.has(index)) found.push(index);
  }
  return found;
}
