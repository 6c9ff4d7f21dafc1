/** Creates the state of a new job. */
import type { Job } from '#wire';
import { ServiceCounter } from '../fair-share/service-counter.js';
import { noJobFailures } from '../failures/job-failures.js';
import { requirementsKey } from '../placement/task-requirements.js';
import type { Dependencies } from './job-dependencies.js';
import type { JobState } from './entities.js';
import { TaskSet } from './task-set.js';

/** Inputs for the state of a new job. Times are seconds of the monotonic clock. */
interface NewJob {
  job: Job;
  dependencies: Dependencies;
  isBestEffort: boolean;
  acceptedAt: number;
  phase: JobState['phase'];
  /** Half-life of the service that the job receives, in seconds. */
  halfLifeS: number;
}

/** Creates the state of a job without assignments and whose tasks run independently of each other. */
export function newJobState(options: NewJob, now: number): JobState {
  const { job, dependencies, isBestEffort, acceptedAt, phase, halfLifeS } = options;
  return {
    spec: job,
    rank: dependencies.rank,
    hasOpenDependencies: dependencies.hasOpenDependencies,
    isBestEffort,
    replicas: null,
    requirementsKey: requirementsKey(job),
    acceptedAt,
    startableAt: acceptedAt,
    phase,
    done: new TaskSet(job.tasks),
    assignments: new Map(),
    requeuedTasks: new Set(),
    scanFrom: 0,
    failures: noJobFailures(),
    backoffUntil: 0,
    tasksMoved: 0,
    service: new ServiceCounter(halfLifeS, now),
    waitingSince: now,
    waitingOrder: 0,
  };
}
