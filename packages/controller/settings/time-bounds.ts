/** What the times in the settings must leave room for, so that no promise to users and workers is broken. */
import type { MoveSettings } from './operator-settings.js';
import type { PlatformSettings } from './platform-settings.js';
import type { SettingsProblem } from './settings-error.js';

type WorkerSettings = PlatformSettings['deployment']['workers'];

/** Clocks differ by 0.05% each; a lease is counted on the worker's. */
const LEASE_DRIFT_FACTOR = 1.002;
/** A heartbeat under way, its answer, and the worker's reaction. */
const MARGIN_HEARTBEATS = 3;
/** Least grace: a leader reads the jobs again about once in a heartbeat interval. */
const MIN_GRACE_HEARTBEATS = 1;

/**
 * How long a leader may go on after it last knew all cancellations and that nobody else could lead; seconds.
 * Every task must be gone within `cancelS` of the earliest cancellation that may be unknown: after the last
 * answer the worker leases still run, with clock drift and a heartbeat under way. Not positive if the settings
 * leave no time at all.
 */
export function graceAfterLoss(
  cancelS: number,
  leaseS: number,
  heartbeatIntervalS: number,
): number {
  return cancelS - leaseS * LEASE_DRIFT_FACTOR - MARGIN_HEARTBEATS * heartbeatIntervalS;
}

/** Why no leader could keep the times that workers and users are promised, or null. */
export function checkTimes(workers: WorkerSettings): SettingsProblem | null {
  const { cancel_s: cancelS, lease_s: leaseS, report_s: heartbeatIntervalS } = workers;
  const missingS =
    MIN_GRACE_HEARTBEATS * heartbeatIntervalS - graceAfterLoss(cancelS, leaseS, heartbeatIntervalS);
  if (missingS <= 0) return null;
  const minCancelS = Math.ceil((cancelS + missingS) * 100) / 100;
  const heartbeats = MARGIN_HEARTBEATS + MIN_GRACE_HEARTBEATS;
  return {
    field: 'deployment.workers.cancel_s',
    reason:
      `must be at least ${minCancelS}, so that a lease of ${leaseS} s and ` +
      `${heartbeats} report periods end within it`,
  };
}

/**
 * Share of the grace after a loss that a planned move may use up: the source must be able to take the shard back,
 * and an outage may begin meanwhile.
 */
const MAX_MIGRATION_SHARE = 1 / 2;

/** Why the times of planned moves can't be kept, or null. */
export function checkMigrationTimes(
  workers: WorkerSettings,
  moves: MoveSettings | null,
): SettingsProblem | null {
  const { cancel_s: cancelS, lease_s: leaseS, report_s: heartbeatIntervalS } = workers;
  const maxSwitchS = graceAfterLoss(cancelS, leaseS, heartbeatIntervalS) * MAX_MIGRATION_SHARE;
  if (moves === null || moves.switchS <= maxSwitchS) return null;
  const bound = Math.floor(maxSwitchS * 100) / 100;
  return {
    field: 'moves.switchS',
    reason:
      `must be at most ${bound}, half of the time for which an owner may answer workers ` +
      'without proof that it owns',
  };
}
