import type { Machine } from './model.js';
import { OrderedMachines } from './ordered-machines.js';

/**
 * Machines that something sets apart, kept current where that changes. They are few, so that duties which
 * come several times a second need not look at all machines. A machine that is removed leaves all groups.
 */
export class MachineGroups {
  private readonly unsettledOnes = new Set<Machine>();
  private readonly noticedOnes = new Set<Machine>();
  private readonly reservedOnes = new Set<Machine>();
  private readonly stoppingOnes = new Set<Machine>();
  private readonly emptyingOnes = new OrderedMachines();

  /** Those that boot, are silent past their lease, drain, or have failed by the cloud's list. */
  get unsettled(): ReadonlySet<Machine> {
    return this.unsettledOnes;
  }

  /** Those that the cloud has given notice of. */
  get noticed(): ReadonlySet<Machine> {
    return this.noticedOnes;
  }

  /** Those that are kept free for a gang. */
  get reserved(): ReadonlySet<Machine> {
    return this.reservedOnes;
  }

  /** Those with a task whose end was asked for. */
  get stopping(): ReadonlySet<Machine> {
    return this.stoppingOnes;
  }

  /** Those that boot or are up, are to stay, and become empty by themselves; as they became known. */
  get emptying(): readonly Machine[] {
    return this.emptyingOnes.machines;
  }

  /** A machine became known. */
  add(machine: Machine): void {
    this.stateChanged(machine);
    this.reclaimChanged(machine);
  }

  remove(machine: Machine): void {
    for (const group of [this.unsettledOnes, this.noticedOnes]) group.delete(machine);
    for (const group of [this.reservedOnes, this.stoppingOnes]) group.delete(machine);
    this.emptyingOnes.setMember(machine, false);
  }

  /** It is up or expired, drains, or is listed as failed. */
  stateChanged(machine: Machine): void {
    const { state, draining, failedInList } = machine;
    setMember(this.unsettledOnes, machine, state !== 'up' || draining || failedInList);
    this.replicasChanged(machine);
  }

  reclaimChanged(machine: Machine): void {
    setMember(this.noticedOnes, machine, machine.reclaimAt !== null);
    this.replicasChanged(machine);
  }

  reservationChanged(machine: Machine): void {
    setMember(this.reservedOnes, machine, machine.reservedForGang !== null);
  }

  stopsChanged(machine: Machine): void {
    setMember(this.stoppingOnes, machine, machine.stoppingTasks > 0);
  }

  replicasChanged(machine: Machine): void {
    const { state, draining, reclaimAt, stayingReplicas } = machine;
    const stays = state !== 'expired' && !draining && reclaimAt === null;
    this.emptyingOnes.setMember(machine, stays && stayingReplicas === 0);
  }
}

function setMember(group: Set<Machine>, machine: Machine, isMember: boolean): void {
  if (isMember) group.add(machine);
  else group.delete(machine);
}
