/** Returns unusable machines to the cloud. */
import type { FleetState, Machine } from '#core';
import { type Clock, MAX_MACHINES_PER_RELEASE } from '#wire';
import type { Log } from '../observability/log.js';
import type { CloudAccess } from './cloud-access.js';
import type { MachineList } from './machine-list.js';
import { unusableMachines } from './unusable-machines.js';

/** Dependencies and settings of a `MachineDeprovisioner`. */
export interface MachineDeprovisionerOptions extends CloudAccess {
  clock: Clock;
  fleet: FleetState;
  machineList: MachineList;
  /** Length of a worker lease; seconds. */
  leaseS: number;
  /** Whether this controller certainly leads and tasks that it stops can start elsewhere at once. */
  mayScaleIn: () => boolean;
  /** Requests a scheduling round, once tasks were removed with their machines. */
  requestRound: () => void;
  log: Log;
}

/** Deprovisions machines on which nothing can run. */
export class MachineDeprovisioner {
  constructor(private readonly options: MachineDeprovisionerOptions) {}

  /**
   * Deprovisions unusable machines, as many as one request to the cloud may name. Rejects if the cloud fails;
   * the next call then finds the machines again. `now` is in seconds of the monotonic clock.
   */
  async deprovisionUnusable(now: number, signal: AbortSignal): Promise<void> {
    const { fleet, leaseS } = this.options;
    const unusable = unusableMachines(fleet, now, leaseS);
    if (unusable.length > 0)
      await this.deprovision(unusable.slice(0, MAX_MACHINES_PER_RELEASE), signal);
  }

  private async deprovision(machines: Machine[], signal: AbortSignal): Promise<void> {
    const { cloud, budget, clock, fleet, machineList, mayScaleIn, log } = this.options;
    const names = machines.map((machine) => machine.name);
    for (const machine of machines) fleet.machines.drain(machine);
    await budget.acquireFor('urgent', 1, signal);
    // The wait for the budget may have been long, or the process may have been suspended meanwhile.
    if (!mayScaleIn()) return;
    await cloud.release(names, signal);
    const now = clock.now();
    for (const name of names) fleet.removeMachine(name, now);
    machineList.recordDeprovisioned(names, now);
    log.info({ machines: names }, 'machines deprovisioned');
    this.options.requestRound();
  }
}
