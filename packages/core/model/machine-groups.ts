/** Groups of machines that some operations walk in place of all machines. */
import type { Machine } from './entities.js';
import { OrderedMachines } from './ordered-machines.js';

/**
 * Groups of machines with a property that few machines have. They are updated wherever the property changes, so that
 * operations that run several times a second need not walk all machines. A removed machine leaves all groups.
 */
export class MachineGroups {
  private readonly machinesNotInService = new Set<Machine>();
  private readonly machinesWithNotice = new Set<Machine>();
  private readonly reservedMachines = new Set<Machine>();
  private readonly stoppingMachines = new Set<Machine>();
  private readonly emptyingMachines = new OrderedMachines();

  /** Machines that boot, whose lease has expired, that drain, or that the cloud lists as failed. */
  get notInService(): ReadonlySet<Machine> {
    return this.machinesNotInService;
  }

  /** Machines for which the cloud has given a reclaim notice. */
  get withReclaimNotice(): ReadonlySet<Machine> {
    return this.machinesWithNotice;
  }

  /** Machines that are kept free for a gang. */
  get reserved(): ReadonlySet<Machine> {
    return this.reservedMachines;
  }

  /** Machines with a task that was asked to stop. */
  get stopping(): ReadonlySet<Machine> {
    return this.stoppingMachines;
  }

  /**
   * Machines that boot or are up, are to be kept, and become empty by themselves, since no replica is to stay on them;
   * in the order in which they became known.
   */
  get emptying(): readonly Machine[] {
    return this.emptyingMachines.machines;
  }

  /** Adds a machine that became known to the groups that it belongs to. */
  add(machine: Machine): void {
    this.stateChanged(machine);
    this.reclaimChanged(machine);
  }

  /** Removes a machine that is gone from all groups. */
  remove(machine: Machine): void {
    for (const group of [this.machinesNotInService, this.machinesWithNotice]) group.delete(machine);
    for (const group of [this.reservedMachines, this.stoppingMachines]) group.delete(machine);
    this.emptyingMachines.setMember(machine, false);
  }

  /** Updates the groups after the machine came up or expired, began to drain, or was listed as failed. */
  stateChanged(machine: Machine): void {
    const { state, draining, failedInList } = machine;
    setMember(this.machinesNotInService, machine, state !== 'up' || draining || failedInList);
    this.replicasChanged(machine);
  }

  /** Updates the groups after a reclaim notice for the machine was given or withdrawn. */
  reclaimChanged(machine: Machine): void {
    setMember(this.machinesWithNotice, machine, machine.reclaimAt !== null);
    this.replicasChanged(machine);
  }

  /** Updates the groups after the machine was reserved for a gang or its reservation ended. */
  reservationChanged(machine: Machine): void {
    setMember(this.reservedMachines, machine, machine.reservedForGang !== null);
  }

  /** Updates the groups after the number of the machine's stopping tasks changed. */
  stopsChanged(machine: Machine): void {
    setMember(this.stoppingMachines, machine, machine.stoppingTasks > 0);
  }

  /**
   * Updates the groups after the number of replicas that are to stay on the machine changed, or the machine's state,
   * draining or reclaim notice.
   */
  replicasChanged(machine: Machine): void {
    const { state, draining, reclaimAt, stayingReplicas } = machine;
    const stays = state !== 'expired' && !draining && reclaimAt === null;
    this.emptyingMachines.setMember(machine, stays && stayingReplicas === 0);
  }
}

function setMember(group: Set<Machine>, machine: Machine, isMember: boolean): void {
  if (isMember) group.add(machine);
  else group.delete(machine);
}
