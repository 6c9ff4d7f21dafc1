/** The plan for one job and its user. */
import type { JobProgram } from '../job-storage.js';

/** A job and when its user submits, cancels and resubmits it. */
export interface PlannedJob {
  program: JobProgram;
  /**
   * Seconds from the start of the plan to the submission. A job with dependencies is submitted later
   * if these are not accepted by then.
   */
  submitAtS: number;
  /** Whether the job is submitted only once all its dependencies have ended; false by default. */
  submittedAfterDependenciesEnd?: boolean;
  /** Seconds from the acceptance until the user cancels the job; null: never. */
  cancelAfterS: number | null;
  /** Seconds from the acceptance until the user submits the job once more; null: never. */
  repeatAfterS: number | null;
}
