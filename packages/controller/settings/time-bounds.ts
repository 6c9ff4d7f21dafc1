/** Bounds between the times in the settings, so that guarantees to users and workers can be kept. */
import type { MigrationSettings } from './operator-settings.js';
import type { PlatformSettings } from './platform-settings.js';
import type { SettingsProblem } from './settings-error.js';

type WorkerSettings = PlatformSettings['deployment']['workers'];

/**
 * Factor by which a worker lease may outlast its nominal duration: the worker's clock counts the lease, and clocks
 * differ by 0.05% each.
 */
const LEASE_DRIFT_FACTOR = 1.002;
/** Heartbeat intervals allowed for a heartbeat in flight, its answer, and the worker's reaction. */
const MARGIN_HEARTBEATS = 3;
/** Shortest grace period, in heartbeat intervals: a leader reads the jobs again about once per interval. */
const MIN_GRACE_HEARTBEATS = 1;

/**
 * Grace period of a leader, in seconds: how long it may continue after the last moment at which it knew all
 * cancellations and no other controller could lead. Every task must be gone within `cancelS` of the earliest
 * cancellation that the leader may not know. After the leader's last answer, worker leases continue for `leaseS`,
 * extended by clock drift and a heartbeat in flight. Zero or negative if the settings leave no time for a grace
 * period.
 */
export function leaderGraceS(cancelS: number, leaseS: number, heartbeatIntervalS: number): number {
  return cancelS - leaseS * LEASE_DRIFT_FACTOR - MARGIN_HEARTBEATS * heartbeatIntervalS;
}

/** The problem if no leader could keep the times guaranteed to workers and users; null if one can. */
export function checkWorkerTimes(workers: WorkerSettings): SettingsProblem | null {
  const { cancel_s: cancelS, lease_s: leaseS, report_s: heartbeatIntervalS } = workers;
  const missingS =
    MIN_GRACE_HEARTBEATS * heartbeatIntervalS - leaderGraceS(cancelS, leaseS, heartbeatIntervalS);
  if (missingS <= 0) return null;
  const minCancelS = Math.ceil((cancelS + missingS) * 100) / 100;
  const heartbeats = MARGIN_HEARTBEATS + MIN_GRACE_HEARTBEATS;
  return {
    field: 'deployment.workers.cancel_s',
    reason:
      `must be at least ${minCancelS}, so that a lease of ${leaseS} s and ` +
      `${heartbeats} report intervals end within it`,
  };
}

/**
 * Largest share of the leader's grace period that the switch of a planned migration may take. The rest is needed
 * because the source may have to take the shard back, and because an outage may begin during the migration.
 */
const MAX_MIGRATION_SHARE = 1 / 2;

/** The problem if a planned migration may exceed its share of the grace period, or null. */
export function checkMigrationTimes(
  workers: WorkerSettings,
  moves: MigrationSettings | null,
): SettingsProblem | null {
  const { cancel_s: cancelS, lease_s: leaseS, report_s: heartbeatIntervalS } = workers;
  const maxSwitchS = leaderGraceS(cancelS, leaseS, heartbeatIntervalS) * MAX_MIGRATION_SHARE;
  if (moves === null || moves.switchS <= maxSwitchS) return null;
  const bound = Math.floor(maxSwitchS * 100) / 100;
  return {
    field: 'moves.switchS',
    reason:
      `must be at most ${bound}, half of the time for which a leader may answer workers ` +
      'without proof that it still leads',
  };
}
