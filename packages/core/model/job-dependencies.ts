import type { Job } from '#wire';

/** What other jobs make of a job. */
export interface Dependencies {
  /** It awaits jobs that are not done. */
  hasOpenDependencies: boolean;
  /** The most urgent rank of the job and of those that need it. */
  rank: number;
}

/** Of a job that awaits none and that none needs. */
export function independent({ rank }: Job): Dependencies {
  return { hasOpenDependencies: false, rank };
}
