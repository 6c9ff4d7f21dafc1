/** What the core is told of the dependencies between jobs; the package `dependencies` keeps the graph. */
import type { Job } from '#wire';

/** What other jobs mean for a job. */
export interface Dependencies {
  /** Jobs that it depends on are not done. */
  hasOpenDependencies: boolean;
  /** The most urgent rank of the job and of its dependents. */
  rank: number;
}

/** Of a job without dependencies and dependents. */
export function independent({ rank }: Job): Dependencies {
  return { hasOpenDependencies: false, rank };
}
