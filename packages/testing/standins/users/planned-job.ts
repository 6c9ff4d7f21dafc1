import type { JobProgram } from '../job-storage.js';

/** A job and what its user will do with it. */
export interface PlannedJob {
  program: JobProgram;
  /** Seconds after the start of the plan. */
  submitAtS: number;
  /** Seconds after the acceptance until the user cancels the job; null: never. */
  cancelAfterS: number | null;
  /** Seconds after the acceptance until the user submits it once more; null: never. */
  repeatAfterS: number | null;
}
