/** Pipelines of jobs that depend on each other. */
import type { Span } from '../distributions.js';
import type { Arrivals, JobClass } from './job-class.js';

/** Jobs that begin when the same others are done. */
export interface Stage {
  jobClass: JobClass;
  jobs: Span;
  /** Numbers of the stages whose jobs its jobs depend on. */

  // eslint-disable-next-line local/retired-words -- the protocol's word
  awaits: number[];
}

/** Jobs, usually of one team, stage after stage, of which the last has a deadline. */
export interface Pipeline {
  stages: Stage[];
  arrivals: Arrivals;
  /** None comes before; the start if it is left out. */
  fromS?: number;
  /** Share of pipelines whose last stage is submitted only when the others are over. */
  lateShare: number;
  /** Share of pipelines of which one job is cancelled. */
  cancelledShare: number;
  deadlineS: number;
  /** Each job is of a team of its own. */
  mixesTeams?: boolean;
}
