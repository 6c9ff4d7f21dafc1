import type { Assignments } from '../assignments.js';
import type { FleetTables } from '../fleet-tables.js';
import type { Machine } from '../model/model.js';

/** Steady clocks differ by up to 0.05% each. */
const CLOCK_DRIFT = 0.001;

/** The leases of workers as seen from here: when they have certainly run out (docs/safety.md, point 5). */
export class MachineLeases {
  /** No lease can have run out before; steady seconds. */
  private noneEndsBefore = -Infinity;
  /** From the answer to a report until its worker's lease has certainly run out. */
  private readonly durationS: number;

  constructor(
    private readonly tables: FleetTables,
    private readonly assignments: Assignments,
  ) {
    const { leaseS, heartbeatIntervalS } = tables.settings;
    this.durationS = leaseS * (1 + CLOCK_DRIFT) + heartbeatIntervalS / 2;
  }

  /**
   * Gives up what silent machines held, once their lease has certainly run out; returns these. Looks at the
   * machines only when a lease may have run out since the last look: one that was renewed since then, or of
   * a machine that was heard for the first time, lasts for its whole time from there.
   */
  expire(now: number): Machine[] {
    if (now <= this.noneEndsBefore) return [];
    this.noneEndsBefore = now + this.durationS;
    const expired: Machine[] = [];
    for (const machine of this.tables.machines.values()) {
      if (!holdsLease(machine)) continue;
      const endsAt = this.latestEnd(machine);
      if (now > endsAt) {
        this.expireMachine(machine, now);
        expired.push(machine);
      } else this.noneEndsBefore = Math.min(this.noneEndsBefore, endsAt);
    }
    return expired;
  }

  private expireMachine(machine: Machine, now: number): void {
    const { machines, machinesWithCommands } = this.tables;
    this.assignments.endAllOn(machine, now);
    machines.setState(machine, 'expired');
    machine.expiredAt = now;
    machinesWithCommands.delete(machine);
    machines.reserve(machine, null);
  }

  /** Latest moment at which the worker's lease can still run, in seconds of the steady clock. */
  latestEnd({ termConfirmed, answeredAt }: Machine): number {
    const { settings, electedAt } = this.tables;
    const byFormerLeader = termConfirmed ? -Infinity : electedAt + settings.formerLeaderS;
    return Math.max(answeredAt, byFormerLeader) + this.durationS;
  }
}

/** Whether its worker may hold tasks that are still to be given up. */
function holdsLease({ state, tasks }: Machine): boolean {
  return state === 'up' || (state === 'booting' && tasks.size > 0);
}
