/** The plan of one job and its user. */
import type { JobProgram } from '../job-storage.js';

/** A job and what its user will do with it. */
export interface PlannedJob {
  program: JobProgram;
  /**
   * Seconds after the start of the plan; a job with dependencies is submitted later if these are not
   * accepted yet.
   */
  submitAtS: number;
  /** It is submitted only once all its dependencies are over; not if it is left out. */
  submittedAfterDependenciesEnd?: boolean;
  /** Seconds after the acceptance until the user cancels the job; null: never. */
  cancelAfterS: number | null;
  /** Seconds after the acceptance until the user submits it once more; null: never. */
  repeatAfterS: number | null;
}
