/** The leases of workers, as far as they can be known here. */
import type { Assignments } from '../assignments/assignments.js';
import type { FleetData } from '../fleet-data.js';
import type { Machine } from '../model/entities.js';

/** Steady clocks differ by up to 0.05% each. */
const MAX_CLOCK_DRIFT = 0.001;

/** Tells when workers' leases have certainly expired, and ends what was on their machines (docs/safety.md, point 5). */
export class MachineLeases {
  /** No lease can have expired before; seconds of the steady clock. */
  private noExpiryBefore = -Infinity;
  /** Seconds from the answer to a heartbeat until its worker's lease has certainly expired. */
  private readonly expiryDelayS: number;

  constructor(
    private readonly fleet: FleetData,
    private readonly assignments: Assignments,
  ) {
    const { leaseS, heartbeatIntervalS } = fleet.settings;
    this.expiryDelayS = leaseS * (1 + MAX_CLOCK_DRIFT) + heartbeatIntervalS / 2;
  }

  /**
   * Ends what was on machines whose lease has certainly expired, and returns these machines. Walks the machines only
   * when a lease may have expired since the last walk: one that was renewed since then, or of a machine whose first
   * heartbeat came since then, lasts for its whole time from there.
   */
  expire(now: number): Machine[] {
    if (now <= this.noExpiryBefore) return [];
    this.noExpiryBefore = now + this.expiryDelayS;
    const expired: Machine[] = [];
    for (const machine of this.fleet.machines.values()) {
      if (!mayHoldLease(machine)) continue;
      const endsAt = this.latestLeaseEnd(machine);
      if (now > endsAt) {
        this.expireMachine(machine, now);
        expired.push(machine);
      } else this.noExpiryBefore = Math.min(this.noExpiryBefore, endsAt);
    }
    return expired;
  }

  private expireMachine(machine: Machine, now: number): void {
    const { machines, machinesWithCommands } = this.fleet;
    this.assignments.endAllOn(machine, now);
    machines.setState(machine, 'expired');
    machine.expiredAt = now;
    machinesWithCommands.delete(machine);
    machines.reserve(machine, null);
  }

  /** Latest moment at which the worker's lease can still be held, in seconds of the steady clock. */
  latestLeaseEnd({ termConfirmed, answeredAt }: Machine): number {
    const { settings, electedAt } = this.fleet;
    const renewedByFormerLeader = termConfirmed ? -Infinity : electedAt + settings.formerLeaderS;
    return Math.max(answeredAt, renewedByFormerLeader) + this.expiryDelayS;
  }
}

/** Whether its worker may hold a lease under which tasks run that are still to be ended here. */
function mayHoldLease({ state, tasks }: Machine): boolean {
  return state === 'up' || (state === 'booting' && tasks.size > 0);
}
