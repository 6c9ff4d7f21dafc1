import type { Machine } from './model.js';

/**
 * Machines that something sets apart, kept current where that changes. They are few, so that duties which
 * come several times a second need not look at all machines. A machine that is removed leaves all groups.
 */
export class MachineGroups {
  private readonly unsettledOnes = new Set<Machine>();
  private readonly noticedOnes = new Set<Machine>();
  private readonly reservedOnes = new Set<Machine>();
  private readonly stoppingOnes = new Set<Machine>();

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

  /** To be called whenever one of the fields that decide has changed. */
  update(machine: Machine): void {
    const { state, draining, failedInList, reclaimAt, reservedForGang, stoppingTasks } = machine;
    const isUnsettled = state !== 'up' || draining || failedInList;
    setMember(this.unsettledOnes, machine, isUnsettled);
    setMember(this.noticedOnes, machine, reclaimAt !== null);
    setMember(this.reservedOnes, machine, reservedForGang !== null);
    setMember(this.stoppingOnes, machine, stoppingTasks > 0);
  }

  remove(machine: Machine): void {
    this.unsettledOnes.delete(machine);
    this.noticedOnes.delete(machine);
    this.reservedOnes.delete(machine);
    this.stoppingOnes.delete(machine);
  }
}

function setMember(group: Set<Machine>, machine: Machine, isMember: boolean): void {
  if (isMember) group.add(machine);
  else group.delete(machine);
}
