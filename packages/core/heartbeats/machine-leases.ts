/** Determines when the leases of workers have certainly expired. */
import type { Assignments } from '../assignments/assignments.js';
import type { FleetData } from '../fleet-data.js';
import type { Machine } from '../model/entities.js';

/** Relative drift between two monotonic clocks; each deviates by up to 0.05%. */
const MAX_CLOCK_DRIFT = 0.001;

/** Ends the assignments on machines whose workers' leases have certainly expired (docs/safety.md, point 5). */
export class MachineLeases {
  /** No lease can expire before this time, in seconds of the monotonic clock. */
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
   * Ends the assignments on machines whose lease has certainly expired, and returns these machines. Walks the machines
   * only when a lease may have expired since the last walk. A lease that was granted or renewed since the last walk
   * lasts for its full duration from that moment.
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
    machine.expiredEpoch = machine.agentEpoch;
    machinesWithCommands.delete(machine);
    machines.reserve(machine, null);
  }

  /** Latest time at which the worker can still hold its lease, in seconds of the monotonic clock. */
  latestLeaseEnd({ termConfirmed, answeredAt }: Machine): number {
    const { settings, electedAt } = this.fleet;
    const renewedByFormerLeader = termConfirmed ? -Infinity : electedAt + settings.formerLeaderS;
    return Math.max(answeredAt, renewedByFormerLeader) + this.expiryDelayS;
  }
}

/** Whether the machine's worker may hold a lease and run tasks whose assignments have not ended. */
function mayHoldLease({ state, tasks }: Machine): boolean {
  return state === 'up' || (state === 'booting' && tasks.size > 0);
}
