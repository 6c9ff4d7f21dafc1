/** Counts the workers that reach the leader with their heartbeats. */
import type { FleetState } from '#core';

/** How many machines should send heartbeats to the leader, and how many recently did. */
export interface WorkerCounts {
  machines: number;
  reachable: number;
}

/**
 * Counts the machines whose heartbeats were answered within the last `withinS` seconds, among all that
 * have booted. Machines with expired worker leases count as well: a leader that no worker reaches eventually
 * has no others. `now` is in seconds of the monotonic clock.
 */
export function countReachable(fleet: FleetState, now: number, withinS: number): WorkerCounts {
  let machines = 0;
  let reachable = 0;
  for (const { state, answeredAt } of fleet.machines.values()) {
    if (state === 'booting') continue;
    machines++;
    if (state === 'up' && now - answeredAt <= withinS) reachable++;
  }
  return { machines, reachable };
}
