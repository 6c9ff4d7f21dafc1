import type { FleetState, Machine } from '#core';

/** Multiple of a type's boot time after which a machine that has never reported is given back. */
const BOOT_LATE = 4;
/** Leases for which a machine may be silent before it is given back. */
const EXPIRED_LEASES = 2;

/** Machines that cost money for nothing: failed, never up, long silent, or empty and not wanted. */
export function unusableMachines(fleet: FleetState, now: number, leaseS: number): Machine[] {
  const { machines } = fleet;
  const isUnusable = (machine: Machine) =>
    machine.failedInList ||
    neverCameUp(machine, machines.typeOf(machine)?.bootS ?? 0, now) ||
    isLongSilent(machine, leaseS, now) ||
    isEmptyAndUnwanted(machine);
  return [...machines.groups.unsettled].filter(isUnusable);
}

function neverCameUp(machine: Machine, bootS: number, now: number): boolean {
  return machine.state === 'booting' && now - machine.requestedAt > BOOT_LATE * bootS;
}

function isLongSilent(machine: Machine, leaseS: number, now: number): boolean {
  return machine.state === 'expired' && now - machine.expiredAt > EXPIRED_LEASES * leaseS;
}

function isEmptyAndUnwanted(machine: Machine): boolean {
  return machine.draining && machine.tasks.size === 0;
}
