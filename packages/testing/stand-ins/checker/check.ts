import type { Job } from '#wire';
import type { WorldEvent } from '../events.js';
import type { WorldState } from '../world-state.js';
import type { JobLedger } from './job-ledger.js';
import type { Finding } from './violation.js';

/** What a team's tasks may use at any moment; 0 means no limit. */
export interface TeamLimit {
  name: string;
  cpus: number;
  gpus: number;
}

export interface CheckerSettings {
  teams: TeamLimit[];
  /** After the confirmation of a cancellation, seconds until all tasks must be gone. */
  cancelS: number;
}

/** What all checks share. The state and the ledger hold each event before the checks see it. */
export interface CheckContext {
  readonly settings: CheckerSettings;
  readonly state: WorldState;
  readonly ledger: JobLedger;
  /** Seconds. */
  now(): number;
  /** When all troubles were over; null: they are not. */
  calmSince(): number | null;
  heartbeat(finding: Finding): void;
}

/** One rule, or several that look at the same events. */
export interface Check {
  onEvent?(event: WorldEvent): void;
  /** Called each second. */
  onTick?(): void;
}

/** Cores and accelerators that one task takes, as far as teams are limited. */
export function teamUse(jobs: Iterable<{ job: Job; tasks: number }>): {
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

const ROUNDING = 1e-6;

export function exceedsLimit(used: { cpus: number; gpus: number }, limit: TeamLimit): boolean {
  return (
    (limit.cpus > 0 && used.cpus > limit.cpus + ROUNDING) ||
    (limit.gpus > 0 && used.gpus > limit.gpus + ROUNDING)
  );
}
