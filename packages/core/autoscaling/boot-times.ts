import type { MachineType } from '#wire';
import type { Machine } from '../model/model.js';

/** Boots by which the next ones are judged, and the multiple of their median that counts as late. */
const BOOTS_KEPT = 15;
const LATE = 1.25;

/** How long boots take at present, and which are late by that. */
export class BootTimes {
  /** The last boots, in multiples of their type's boot time. */
  private readonly recent: number[] = [];

  /** A rented machine reported for the first time. */
  machineUp(machine: Machine, type: MachineType | undefined, now: number): void {
    if (!type || type.bootS <= 0) return;
    this.recent.push((now - machine.requestedAt) / type.bootS);
    if (this.recent.length > BOOTS_KEPT) this.recent.shift();
  }

  /** Multiple of its type's boot time from which a machine that boots is not counted on. */
  lateFrom(): number {
    const sorted = [...this.recent].sort((a, b) => a - b);
    return LATE * Math.max(1, sorted[Math.floor(sorted.length / 2)] ?? 1);
  }
}
