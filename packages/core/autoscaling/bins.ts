/** The bins of a plan: machines that exist or would be provisioned, with what the plan packs into them. */
import type { Job, MachineType } from '#wire';
import { firmUse } from '../fair-share/best-effort.js';
import type { FleetState } from '../fleet-state.js';
import { addAmounts, type Amounts, multipliedAmounts, ZERO_AMOUNTS } from '../model/amounts.js';
import type { Machine } from '../model/entities.js';
import { canTakeTasks } from '../placement/availability.js';
import { hasCapacity, kindAllowed, type MachineKind } from '../placement/task-requirements.js';

/** A machine that is up, boots or would be provisioned, as a plan fills it. */
export interface Bin extends MachineKind {
  /** Null if it would be provisioned. */
  machine: Machine | null;
  /** The amounts that firm work uses, with what the plan has packed. */
  used: Amounts;
  /** Firm work is there, or the plan has packed something. */
  isNeeded: boolean;
  /** Id of the gang that the machine is reserved for. */
  reservedForGang: string | null;
}

/** A machine that is up or boots. */
export type ExistingBin = Bin & { machine: Machine };

/**
 * The machines that are or soon will be up. Fuller ones come first, so that the emptiest stay unused and
 * can be scaled in; then the cheaper. `lateAfterBoots` is the multiple of its type's boot time after which a
 * machine that boots is not counted on: it may come very late or never.
 */
export function existingBins(
  fleet: FleetState,
  lateAfterBoots: number,
  now: number,
): ExistingBin[] {
  const { machineRecordBytes } = fleet.settings;
  const bins: ExistingBin[] = [];
  for (const machine of fleet.machines.values()) {
    const type = fleet.machines.typeOf(machine);
    if (!type || machine.state === 'expired' || machine.draining || machine.failedInList) continue;
    if (machine.state === 'up' && !canTakeTasks(machine, machineRecordBytes)) continue;
    if (machine.state === 'booting' && now - machine.requestedAt > lateAfterBoots * type.bootS)
      continue;
    bins.push(existingBin(machine, type));
  }
  return bins.sort(
    (a, b) =>
      usedShare(b) - usedShare(a) ||
      a.type.price - b.type.price ||
      (a.machine.name < b.machine.name ? -1 : 1),
  );
}

function existingBin(machine: Machine, type: MachineType): ExistingBin {
  const { zone, spot, reservedForGang } = machine;
  // What a gang waits for will be empty when it starts, and best-effort work gives way.
  const used = reservedForGang === null ? firmUse(machine) : { ...ZERO_AMOUNTS };
  return { machine, type, zone, spot, used, isNeeded: machine.firmTasks > 0, reservedForGang };
}

function usedShare({ used, type }: Bin): number {
  return Math.max(used.cpus / type.cpus, type.gpus > 0 ? used.gpus / type.gpus : 0);
}

/**
 * A machine that would be provisioned. Its fields come in the same order as those of existing ones, so that
 * all bins have one hidden class: plans scan them.
 */
export function emptyBin({ type, zone, spot }: MachineKind): Bin {
  const used = { ...ZERO_AMOUNTS };
  return { machine: null, type, zone, spot, used, isNeeded: false, reservedForGang: null };
}

/** Whether one more task of the job has capacity there and may go there; zones of its other tasks are checked elsewhere. */
export function canHold(bin: Bin, job: Job): boolean {
  const { used, type, zone, spot } = bin;
  return hasCapacity(job, used, type) && kindAllowed(job, type, zone, spot);
}

/** Packs tasks of the job into the bin. */
export function packTasks(bin: Bin, job: Job, tasks: number): void {
  addAmounts(bin.used, multipliedAmounts(job, tasks), 1);
  bin.isNeeded = true;
}
