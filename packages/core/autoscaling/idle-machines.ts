/** Idle machines: machines that no task and no plan needs, and that can be deprovisioned. */
import type { MachineType } from '#wire';
import { dominantShare } from '../model/resources.js';
import type { Machine } from '../model/entities.js';
import type { ExistingBin } from './bins.js';

/** Least share of a spot machine that best-effort tasks must use for the machine to be kept. */
const MIN_BEST_EFFORT_SHARE = 1 / 2;

/** Returns the machines that the plan does not need and that have had no firm task for `holdS` seconds. */
export function idleMachines(existing: ExistingBin[], holdS: number, now: number): Machine[] {
  return existing
    .filter((bin) => !bin.isNeeded && isIdle(bin, holdS, now))
    .map(({ machine }) => machine);
}

function isIdle({ machine, type }: ExistingBin, holdS: number, now: number): boolean {
  const { firmTasks, reservedForGang, state, idleSince } = machine;
  if (firmTasks > 0 || reservedForGang !== null || state === 'booting') return false;
  return now - idleSince >= holdS && !isWorthKeeping(machine, type);
}

/** Whether best-effort tasks justify keeping the machine: it is a cheap spot machine, and they use enough of it. */
function isWorthKeeping({ spot, usedBestEffort }: Machine, type: MachineType): boolean {
  return spot && dominantShare(usedBestEffort, type) >= MIN_BEST_EFFORT_SHARE;
}
