/** Bins of a plan: machines that exist or would be provisioned, with the tasks that the plan packs into them. */
import type { Job, MachineType } from '#wire';
import { firmUse } from '../fair-share/best-effort.js';
import type { FleetState } from '../fleet-state.js';
import {
  addResources,
  type Resources,
  multiplyResources,
  ZERO_RESOURCES,
} from '../model/resources.js';
import type { Machine } from '../model/entities.js';
import { canTakeTasks } from '../placement/availability.js';
import { hasCapacity, kindAllowed, type MachineKind } from '../placement/task-requirements.js';

/** A machine that is up, booting or to be provisioned, with its use in the plan. */
export interface Bin extends MachineKind {
  /** The existing machine; null if it would be provisioned. */
  machine: Machine | null;
  /** Amounts used by firm tasks and by the tasks that the plan has packed. */
  used: Resources;
  /** Whether the machine runs firm tasks or the plan has packed tasks into it. */
  isNeeded: boolean;
  /** Id of the gang that the machine is reserved for. */
  reservedForGang: string | null;
}

/** The bin of a machine that is up or booting. */
export type ExistingBin = Bin & { machine: Machine };

/**
 * Returns bins for the machines that are up or soon will be. Fuller machines come first, so that the emptiest
 * stay unused and can be scaled in; among equally full ones, the cheapest come first. A machine that has been
 * booting for more than `lateAfterBoots` boot times of its type is left out: it may come very late or never.
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
  // A reserved machine will be empty when its gang starts. Best-effort tasks are stopped when needed.
  const used = reservedForGang === null ? firmUse(machine) : { ...ZERO_RESOURCES };
  return { machine, type, zone, spot, used, isNeeded: machine.firmTasks > 0, reservedForGang };
}

function usedShare({ used, type }: Bin): number {
  return Math.max(used.cpus / type.cpus, type.gpus > 0 ? used.gpus / type.gpus : 0);
}

/**
 * Makes the bin of a machine to provision. Its fields have the same order as those of existing machines, so
 * that all bins share one hidden class of the JavaScript engine: plans scan many bins.
 */
export function emptyBin({ type, zone, spot }: MachineKind): Bin {
  const used = { ...ZERO_RESOURCES };
  return { machine: null, type, zone, spot, used, isNeeded: false, reservedForGang: null };
}

/** Whether the bin has capacity for a task of the job on an allowed machine; tasks per zone are not checked. */
export function canHold(bin: Bin, job: Job): boolean {
  const { used, type, zone, spot } = bin;
  return hasCapacity(job, used, type) && kindAllowed(job, type, zone, spot);
}

/** Packs tasks of the job into the bin. */
export function packTasks(bin: Bin, job: Job, tasks: number): void {
  addResources(bin.used, multiplyResources(job, tasks), 1);
  bin.isNeeded = true;
}
