/** Finds the machines to be deprovisioned because nothing can run on them. */
import type { FleetState, Machine } from '#core';

/** Multiple of a type's boot time after which a machine without a heartbeat counts as never booted. */
const BOOT_TIMEOUT_FACTOR = 4;
/** Number of lease lengths from the expiry of a worker lease until its machine is deprovisioned. */
const LEASES_AFTER_EXPIRY = 2;

/**
 * Machines that cost money but can run nothing: failed, never booted, without a heartbeat for long, or
 * drained. `now` is in seconds of the monotonic clock, `leaseS` is the length of a worker lease.
 */
export function unusableMachines(fleet: FleetState, now: number, leaseS: number): Machine[] {
  const { machines } = fleet;
  const isUnusable = (machine: Machine) =>
    machine.failedInList ||
    neverBooted(machine, machines.typeOf(machine)?.bootS ?? 0, now) ||
    isLongExpired(machine, leaseS, now) ||
    isDrained(machine);
  return [...machines.groups.notInService].filter(isUnusable);
}

function neverBooted(machine: Machine, bootS: number, now: number): boolean {
  return machine.state === 'booting' && now - machine.requestedAt > BOOT_TIMEOUT_FACTOR * bootS;
}

function isLongExpired(machine: Machine, leaseS: number, now: number): boolean {
  return machine.state === 'expired' && now - machine.expiredAt > LEASES_AFTER_EXPIRY * leaseS;
}

function isDrained(machine: Machine): boolean {
  return machine.draining && machine.tasks.size === 0;
}
