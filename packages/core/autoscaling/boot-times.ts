/** Boot times: how long boots take at present, and so which of them are late. */
import type { MachineType } from '#wire';
import type { Machine } from '../model/entities.js';

/** Boots by which the next ones are judged. */
const SAMPLE_COUNT = 15;
/** Multiple of their median that counts as late. */
const LATE_FACTOR = 1.25;

/** Samples of boot times. Times are seconds of the steady clock. */
export class BootTimes {
  /** The last boots, in multiples of their type's boot time. */
  private readonly recentRatios: number[] = [];

  /** Samples a provisioned machine that has sent its first heartbeat. */
  machineUp(machine: Machine, type: MachineType | undefined, now: number): void {
    if (!type || type.bootS <= 0) return;
    this.recentRatios.push((now - machine.requestedAt) / type.bootS);
    if (this.recentRatios.length > SAMPLE_COUNT) this.recentRatios.shift();
  }

  /** Multiple of its type's boot time after which a machine that boots is not counted on. */
  lateAfterBoots(): number {
    const sorted = [...this.recentRatios].sort((a, b) => a - b);
    return LATE_FACTOR * Math.max(1, sorted[Math.floor(sorted.length / 2)] ?? 1);
  }
}
