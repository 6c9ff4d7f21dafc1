/** Pipelines of jobs that depend on each other. */
import type { Span } from '../distributions.js';
import type { Arrivals, JobClass } from './job-class.js';

/** A stage of a pipeline: jobs with the same dependencies. */
export interface Stage {
  jobClass: JobClass;
  jobs: Span;
  /** Indexes of the stages on whose jobs the jobs of this stage depend. */

  // eslint-disable-next-line local/retired-words -- a field of saved runs
  awaits: number[];
}

/** A pipeline of stages, usually of one team. Only the jobs of the last stage have a deadline. */
export interface Pipeline {
  stages: Stage[];
  arrivals: Arrivals;
  /** Seconds from the start of the run before which no pipeline is submitted; 0 by default. */
  fromS?: number;
  /** Share of the last stage's jobs that are submitted only once their dependencies have ended. */
  lateShare: number;
  /** Share of pipelines in which one job is cancelled. */
  cancelledShare: number;
  deadlineS: number;
  /** Whether the team is chosen for each job instead of for the pipeline. */
  mixesTeams?: boolean;
}
