import type { Assignments } from './assignments.js';
import type { FleetTables } from './fleet-tables.js';
import type { Machine } from './model.js';

/** Steady clocks differ by up to 0.05% each. */
const CLOCK_DRIFT = 0.001;

/** The leases of workers as seen from here: when they have certainly run out (docs/safety.md, point 5). */
export class MachineLeases {
  constructor(
    private readonly tables: FleetTables,
    private readonly assignments: Assignments,
  ) {}

  /** Gives up what silent machines held, once their lease has certainly run out; returns these. */
  expire(now: number): Machine[] {
    const expired: Machine[] = [];
    for (const machine of this.tables.machines.values()) {
      if (machine.state === 'booting' && machine.tasks.size === 0) continue;
      if (machine.state === 'expired' || now <= this.latestEnd(machine)) continue;
      this.assignments.endAllOn(machine, now);
      this.tables.machines.setState(machine, 'expired');
      machine.expiredAt = now;
      this.tables.machinesWithCommands.delete(machine);
      this.tables.machines.reserve(machine, null);
      expired.push(machine);
    }
    return expired;
  }

  /** Latest moment at which the worker's lease can still run, in seconds of the steady clock. */
  private latestEnd(machine: Machine): number {
    const { settings, claimedAt } = this.tables;
    const { leaseS, formerOwnerS, reportS } = settings;
    const lastAnswer = machine.termConfirmed
      ? machine.answeredAt
      : Math.max(machine.answeredAt, claimedAt + formerOwnerS);
    return lastAnswer + leaseS * (1 + CLOCK_DRIFT) + reportS / 2;
  }
}
