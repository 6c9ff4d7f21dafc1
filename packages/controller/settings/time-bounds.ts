import type { MoveSettings } from './operator-settings.js';
import type { PlatformSettings } from './platform-settings.js';

/** Clocks differ by 0.05% each; a lease is counted on the worker's. */
const LEASE_DRIFT = 1.002;
/** A report under way, its answer, and the worker's reaction. */
const MARGIN_HEARTBEATS = 3;
/** Least grace: an owner reads the jobs anew about once in a report period. */
const MIN_GRACE_HEARTBEATS = 1;

/**
 * How long an owner may go on after it last knew all cancellations and that nobody else could own;
 * seconds. Every task must be gone within cancel_s of the earliest cancellation that may be unknown:
 * after the last answer the workers' leases still run, with drift and a report under way. Not positive
 * if the settings leave no time at all.
 */
export function graceAfterLoss(
  cancelS: number,
  leaseS: number,
  heartbeatIntervalS: number,
): number {
  return cancelS - leaseS * LEASE_DRIFT - MARGIN_HEARTBEATS * heartbeatIntervalS;
}

/** Why no owner could keep the times that workers and users are promised, or null. */
export function checkTimes(workers: PlatformSettings['deployment']['workers']): string | null {
  const { cancel_s: cancelS, lease_s: leaseS, report_s: heartbeatIntervalS } = workers;
  const missingS =
    MIN_GRACE_HEARTBEATS * heartbeatIntervalS - graceAfterLoss(cancelS, leaseS, heartbeatIntervalS);
  if (missingS <= 0) return null;
  const leastS = Math.ceil((cancelS + missingS) * 100) / 100;
  return (
    `deployment.workers.cancel_s: must be at least ${leastS}, so that a lease of ${leaseS} s and ` +
    `${MARGIN_HEARTBEATS + MIN_GRACE_HEARTBEATS} report periods end within it`
  );
}

/**
 * Share of the time for which an owner may go on without proof that a move may take from it: it must be able to take
 * the part back, and an outage may begin meanwhile.
 */
const MOVE_SHARE = 1 / 2;

/** Why the times of planned moves can't be kept, or null. */
export function checkMoveTimes(
  workers: PlatformSettings['deployment']['workers'],
  moves: MoveSettings | null,
): string | null {
  const { cancel_s: cancelS, lease_s: leaseS, report_s: heartbeatIntervalS } = workers;
  const mostS = graceAfterLoss(cancelS, leaseS, heartbeatIntervalS) * MOVE_SHARE;
  if (moves === null || moves.switchS <= mostS) return null;
  const bound = Math.floor(mostS * 100) / 100;
  return (
    `moves.switchS: must be at most ${bound}, half of the time for which an owner may answer workers ` +
    'without proof that it owns'
  );
}
