/** How dependencies between jobs affect a single job; the package `dependencies` keeps the graph. */
import type { Job } from '#wire';

/** How a job's dependencies and dependents affect it. */
export interface Dependencies {
  /** Whether a job that it depends on is not done. */
  hasOpenDependencies: boolean;
  /** The most urgent rank of the job and of its dependents. */
  rank: number;
}

/** The effect on a job that has neither dependencies nor dependents. */
export function withoutDependencies({ rank }: Job): Dependencies {
  return { hasOpenDependencies: false, rank };
}
