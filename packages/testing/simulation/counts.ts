/** The figures of one run. */
import type { Timeline } from './timeline.js';

/** What a run came to, in numbers. */
export interface RunCounts {
  jobsSubmitted: number;
  jobsAccepted: number;
  /** Jobs whose users were told that they are done, or cancelled. */
  jobsDone: number;
  jobsCancelled: number;
  tasksStarted: number;
  tasksCompleted: number;
  /** Tasks that were killed because a lease ended or a machine went. */
  tasksKilled: number;
  /** Requests of users by the status of the answer; `none` if there was none. */
  answers: Record<string, number>;
}

/** Counts the events of a run. */
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
