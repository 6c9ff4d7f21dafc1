/** What the checks of the rules have in common: their context, and the limits of teams. */
import type { Job } from '#wire';
import type { WorldEvent } from '../events.js';
import type { WorldState } from '../world-state.js';
import type { JobRecords } from './job-ledger.js';
import type { Finding } from './violation.js';

/** What a team's tasks may use at any moment; 0 means no limit. */
export interface TeamLimit {
  name: string;
  cpus: number;
  gpus: number;
}

/** The settings of the platform that the rules refer to. */
export interface CheckerSettings {
  teams: TeamLimit[];
  /** After the confirmation of a cancellation, seconds until all tasks must be gone. */
  cancelS: number;
}

/** What all checks share. The state and the ledger hold each event before the checks see it. */
export interface CheckContext {
  readonly settings: CheckerSettings;
  readonly state: WorldState;
  readonly jobRecords: JobRecords;
  /** Seconds. */
  now(): number;
  /** When all faults had ended; null: some go on. */
  faultFreeSince(): number | null;
  recordViolation(finding: Finding): void;
}

/** One rule, or several that are checked by the same events. */
export interface Check {
  onEvent?(event: WorldEvent): void;
  /** Called each second. */
  onTick?(): void;
}

/** Cores and accelerators that one task takes, as far as teams are limited. */
export function totalResources(jobs: Iterable<{ job: Job; tasks: number }>): {
  cpus: number;
  gpus: number;
} {
  const used = { cpus: 0, gpus: 0 };
  for (const { job, tasks } of jobs) {
    used.cpus += job.cpus * tasks;
    used.gpus += job.gpus * tasks;
  }
  return used;
}

const ROUNDING_TOLERANCE = 1e-6;

/** Whether the resources in use are above a limit of the team. */
export function exceedsLimit(used: { cpus: number; gpus: number }, limit: TeamLimit): boolean {
  return (
    (limit.cpus > 0 && used.cpus > limit.cpus + ROUNDING_TOLERANCE) ||
    (limit.gpus > 0 && used.gpus > limit.gpus + ROUNDING_TOLERANCE)
  );
}
