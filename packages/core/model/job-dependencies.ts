/** How dependencies between jobs affect a single job; the package `dependencies` keeps the graph. */
import type { Job } from '#wire';

/** How the dependencies and dependents of a job affect that job. */
export interface Dependencies {
  /** Whether some job that this job depends on is not done. */
  hasOpenDependencies: boolean;
  /** The most urgent rank of the job and of its dependents. */
  rank: number;
}

/** The effect on a job that has neither dependencies nor dependents. */
export function withoutDependencies({ rank }: Job): Dependencies {
  return { hasOpenDependencies: false, rank };
}
