/** The interface and the context of the checks, and the resource limits of teams. */
import type { Job } from '#wire';
import type { WorldEvent } from '../events.js';
import type { WorldState } from '../world-state.js';
import type { JobRecords } from './job-records.js';
import type { Finding } from './violation.js';

/** Resources that the tasks of a team may use at the same time; 0 means no limit. */
export interface TeamLimit {
  name: string;
  cpus: number;
  gpus: number;
}

/** The settings of the platform that the rules refer to. */
export interface CheckerSettings {
  teams: TeamLimit[];
  /** Seconds after the confirmation of a cancellation until all tasks of the job must have stopped. */
  cancelS: number;
}

/**
 * What all checks share. An event is applied to `state`, and a user's request to `jobRecords`, before
 * the checks see it; an answer is applied to `jobRecords` afterwards.
 */
export interface CheckContext {
  readonly settings: CheckerSettings;
  readonly state: WorldState;
  readonly jobRecords: JobRecords;
  /** Seconds of the checker's clock. */
  now(): number;
  /** Time at which the last fault ended; null while a fault is active. */
  faultFreeSince(): number | null;
  recordViolation(finding: Finding): void;
}

/** Checks one rule, or several rules that depend on the same events. */
export interface Check {
  onEvent?(event: WorldEvent): void;
  /** Called each second. */
  onTick?(): void;
}

/** The resources for which teams have limits, summed over all tasks of the jobs. */
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

/** Whether the resources in use exceed a limit of the team. */
export function exceedsLimit(used: { cpus: number; gpus: number }, limit: TeamLimit): boolean {
  return (
    (limit.cpus > 0 && used.cpus > limit.cpus + ROUNDING_TOLERANCE) ||
    (limit.gpus > 0 && used.gpus > limit.gpus + ROUNDING_TOLERANCE)
  );
}
