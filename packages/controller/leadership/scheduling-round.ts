/** Runs one scheduling round on the fleet state. Recording and sending its results happen elsewhere. */
import type { FleetState, Scheduler } from '#core';
import type { ReplicaGroups } from '#replicas';
import type { Log } from '../observability/log.js';
import { evictOnReclaimNotices } from './reclaim-notices.js';

/** Components that a scheduling round works on. */
export interface SchedulingRoundOptions {
  fleet: FleetState;
  scheduler: Scheduler;
  /** Null if replica groups are switched off: each task of a service is then a replica by itself. */
  replicaGroups: ReplicaGroups | null;
  log: Log;
}

/**
 * Updates the fleet state and then decides which task runs on which machine. The order matters: expired leases and
 * evictions free capacity that the decisions of the same round may use.
 */
export class SchedulingRound {
  constructor(private readonly options: SchedulingRoundOptions) {}

  /** Runs one round at `now`, in seconds of the monotonic clock. Returns the number of decisions. */
  run(now: number): number {
    const { fleet, scheduler, replicaGroups } = this.options;
    this.expireWorkerLeases(now);
    fleet.machines.updateTotals();
    evictOnReclaimNotices(fleet, now);
    replicaGroups?.expireStarts(now);
    scheduler.reservations.update(now);
    return scheduler.round(now);
  }

  private expireWorkerLeases(now: number): void {
    const { fleet, log } = this.options;
    for (const { name } of fleet.leases.expire(now)) {
      log.info({ machine: name }, 'worker lease expired');
    }
  }
}
