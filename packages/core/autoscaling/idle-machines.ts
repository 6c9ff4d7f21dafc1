/** Idle machines: what neither work nor a plan needs, and so can be deprovisioned. */
import type { MachineType } from '#wire';
import { dominantShare } from '../model/amounts.js';
import type { Machine } from '../model/entities.js';
import type { ExistingBin } from './bins.js';

/** Share of a spot machine that best-effort work must use to keep it. */
const MIN_BEST_EFFORT_SHARE = 1 / 2;

/** The machines that the plan does not need and that have had no firm task for `holdS` seconds. */
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

/** Best-effort work keeps a machine that is cheap and well used by it, and no other. */
function isWorthKeeping({ spot, usedBestEffort }: Machine, type: MachineType): boolean {
  return spot && dominantShare(usedBestEffort, type) >= MIN_BEST_EFFORT_SHARE;
}
