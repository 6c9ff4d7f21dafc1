import type { Job, MachineType } from '#wire';
import { canTakeTasks } from '../placement/availability.js';
import { addAmounts, Amounts, ZERO_AMOUNTS } from '../model/amounts.js';
import { firmUse } from '../fair-share/best-effort.js';
import { hasCapacity, kindAllowed, MachineKind } from '../placement/bin-packing.js';
import type { FleetState } from '../fleet-state.js';
import type { Machine } from '../model/model.js';

/** Room on a machine that stands, boots or would be rented, as a plan fills it. */
export interface Slot extends MachineKind {
  /** Null if it would be rented. */
  machine: Machine | null;
  used: Amounts;
  /** Something is there or is planned to go there. */
  touched: boolean;
  /** The gang that the machine is reserved for. */
  reservedForGang: string | null;
}

/** Room on a machine that stands or boots. */
export type StandingSlot = Slot & { machine: Machine };

/**
 * The machines that are or soon will be up. Fuller ones come first, so that the emptiest stay untouched
 * and can go; then the cheaper. `lateFrom` is the multiple of its type's boot time from which a machine
 * that boots is not counted on: it may come very late or never.
 */
export function standingSlots(fleet: FleetState, lateFrom: number, now: number): StandingSlot[] {
  const { machineRecordBytes } = fleet.settings;
  const slots: StandingSlot[] = [];
  for (const machine of fleet.machines.values()) {
    const type = fleet.machines.typeOf(machine);
    if (!type || machine.state === 'expired' || machine.draining || machine.failedInList) continue;
    if (machine.state === 'up' && !canTakeTasks(machine, machineRecordBytes)) continue;
    if (machine.state === 'booting' && now - machine.requestedAt > lateFrom * type.bootS) continue;
    slots.push(standingSlot(machine, type));
  }
  return slots.sort(
    (a, b) =>
      fillOf(b) - fillOf(a) ||
      a.type.price - b.type.price ||
      (a.machine.name < b.machine.name ? -1 : 1),
  );
}

function standingSlot(machine: Machine, type: MachineType): StandingSlot {
  const { zone, spot, reservedForGang } = machine;
  // What a gang waits for will be empty when it starts, and best-effort work gives way.
  const used = reservedForGang === null ? firmUse(machine) : { ...ZERO_AMOUNTS };
  return { machine, type, zone, spot, used, touched: machine.firmTasks > 0, reservedForGang };
}

function fillOf({ used, type }: Slot): number {
  return Math.max(used.cpus / type.cpus, type.gpus > 0 ? used.gpus / type.gpus : 0);
}

/** Fields come in the same order as above, so that all slots have one hidden class: plans scan them. */
export function emptySlot({ type, zone, spot }: MachineKind): Slot {
  const used = { ...ZERO_AMOUNTS };
  return { machine: null, type, zone, spot, used, touched: false, reservedForGang: null };
}

/** Whether one more task of the job has room there and may go there, its zones apart. */
export function holds(slot: Slot, job: Job): boolean {
  const { used, type, zone, spot } = slot;
  return hasCapacity(job, used, type) && kindAllowed(job, type, zone, spot);
}

/** Packs tasks of the job into the slot. */
export function reserveCapacity(slot: Slot, { cpus, gpus, memory }: Job, tasks: number): void {
  const taken = { cpus: cpus * tasks, gpus: gpus * tasks, memory: memory * tasks };
  addAmounts(slot.used, taken, 1);
  slot.touched = true;
}
