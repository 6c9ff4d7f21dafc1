/** Groups of machines that some operations walk in place of all machines. */
import type { Machine } from './entities.js';
import { OrderedMachines } from './ordered-machines.js';

/**
 * Machines with a property that few have, kept current where it changes, so that operations which come several times a
 * second need not walk all machines. A machine that is removed leaves all groups.
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

  /** Machines that the cloud has given a reclaim notice of. */
  get withReclaimNotice(): ReadonlySet<Machine> {
    return this.machinesWithNotice;
  }

  /** Machines that are kept free for a gang. */
  get reserved(): ReadonlySet<Machine> {
    return this.reservedMachines;
  }

  /** Machines with a task that is to stop. */
  get stopping(): ReadonlySet<Machine> {
    return this.stoppingMachines;
  }

  /** Machines that boot or are up, are to stay, and become empty by themselves; in the order in which they became known. */
  get emptying(): readonly Machine[] {
    return this.emptyingMachines.machines;
  }

  /** A machine became known. */
  add(machine: Machine): void {
    this.stateChanged(machine);
    this.reclaimChanged(machine);
  }

  /** A machine is gone. */
  remove(machine: Machine): void {
    for (const group of [this.machinesNotInService, this.machinesWithNotice]) group.delete(machine);
    for (const group of [this.reservedMachines, this.stoppingMachines]) group.delete(machine);
    this.emptyingMachines.setMember(machine, false);
  }

  /** The machine is up or expired, drains, or is listed as failed. */
  stateChanged(machine: Machine): void {
    const { state, draining, failedInList } = machine;
    setMember(this.machinesNotInService, machine, state !== 'up' || draining || failedInList);
    this.replicasChanged(machine);
  }

  /** A reclaim notice of the machine came or was withdrawn. */
  reclaimChanged(machine: Machine): void {
    setMember(this.machinesWithNotice, machine, machine.reclaimAt !== null);
    this.replicasChanged(machine);
  }

  /** The machine is kept free for a gang, or no longer. */
  reservationChanged(machine: Machine): void {
    setMember(this.reservedMachines, machine, machine.reservedForGang !== null);
  }

  /** The number of its tasks that are to stop has changed. */
  stopsChanged(machine: Machine): void {
    setMember(this.stoppingMachines, machine, machine.stoppingTasks > 0);
  }

  /** The number of replicas that stay on it has changed, or whether it stays itself. */
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
