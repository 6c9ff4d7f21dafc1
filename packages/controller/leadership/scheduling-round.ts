/** What one scheduling round does to the fleet state, before anything of it is recorded or sent. */
import type { FleetState, Scheduler } from '#core';
import type { ReplicaGroups } from '#replicas';
import type { Log } from '../observability/log.js';
import { evictOnReclaimNotices } from './reclaim-notices.js';

/** What a round works on. */
export interface SchedulingRoundOptions {
  fleet: FleetState;
  scheduler: Scheduler;
  /** Null: each task of a service is a replica by itself. */
  replicaGroups: ReplicaGroups | null;
  log: Log;
}

/**
 * Brings the fleet state up to date and decides what runs where. The order matters: expired leases and
 * evictions free capacity that the decisions of the same round may use.
 */
export class SchedulingRound {
  constructor(private readonly options: SchedulingRoundOptions) {}

  /** Runs one round at `now` (steady seconds); returns the number of decisions. */
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
