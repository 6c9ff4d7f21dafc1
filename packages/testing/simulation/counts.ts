/** Counts of jobs, tasks and requests in one run. */
import type { Timeline } from './timeline.js';

/** Counts of one run. */
export interface RunCounts {
  jobsSubmitted: number;
  jobsAccepted: number;
  /** Jobs that an answer to a user reported as done, or as cancelled. */
  jobsDone: number;
  jobsCancelled: number;
  tasksStarted: number;
  tasksCompleted: number;
  /** Tasks that were killed because a lease ended or the machine went down. */
  tasksKilled: number;
  /** Number of user requests by HTTP status of the answer; `none` counts requests without an answer. */
  answers: Record<string, number>;
}

/** Derives the counts of a run from its timeline. */
export function countRun(timeline: Timeline): RunCounts {
  const accepted = new Set<string>();
  const done = new Set<string>();
  const cancelled = new Set<string>();
  const answers = new Map<string, number>();
  for (const { request, status, phase } of timeline.of('answered')) {
    answers.set(`${status}`, (answers.get(`${status}`) ?? 0) + 1);
    if (status < 300) accepted.add(request.job);
    if (phase === 'done') done.add(request.job);
    if (phase === 'aborted') cancelled.add(request.job);
  }
  answers.set('none', timeline.of('unanswered').length);
  return {
    jobsSubmitted: timeline.of('job-submitted').length,
    jobsAccepted: accepted.size,
    jobsDone: done.size,
    jobsCancelled: cancelled.size,
    tasksStarted: timeline.of('task-started').length,
    tasksCompleted: timeline.of('task-completed').length,
    tasksKilled: timeline.of('task-left').filter(({ cause }) => cause === 'killed').length,
    answers: Object.fromEntries(answers),
  };
}
