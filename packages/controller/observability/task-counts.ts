/** Counts the done and running tasks of jobs, for users. */
import { assignmentsOf, type FleetState, type JobState } from '#core';

/** Task counts of a job, for display. */
export interface TaskCounts {
  job: string;
  done: number;
  running: number;
}

/** The counts of all open jobs. */
export function countAllTasks(fleet: FleetState): TaskCounts[] {
  const open = [...fleet.jobs.values()].filter(({ phase }) => phase === 'accepted');
  return open.map(countTasks);
}

/** The counts of those jobs whose counts may have changed since the last call. */
export function countChangedTasks(fleet: FleetState): TaskCounts[] {
  return fleet.jobs.drainChangedCounts().map(countTasks);
}

function countTasks(job: JobState): TaskCounts {
  return { job: job.spec.id, done: job.done.size, running: countRunning(job) };
}

function countRunning(job: JobState): number {
  let running = 0;
  for (const assignment of assignmentsOf(job)) {
    if (assignment.reportedState === 'running') running++;
  }
  return running;
}
