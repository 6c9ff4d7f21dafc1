/** Boot times: measures how long boots take at present, to tell which machines are late. */
import type { MachineType } from '#wire';
import type { Machine } from '../model/entities.js';

/** Number of recent boots whose median is used. */
const SAMPLE_COUNT = 15;
/** Multiple of the median boot time after which a booting machine counts as late. */
const LATE_FACTOR = 1.25;

/** Samples of boot times. Times are seconds of the monotonic clock. */
export class BootTimes {
  /** Durations of the last boots, in multiples of the boot time of the machine's type. */
  private readonly recentRatios: number[] = [];

  /** Records the boot time of a provisioned machine that has sent its first heartbeat. */
  machineUp(machine: Machine, type: MachineType | undefined, now: number): void {
    if (!type || type.bootS <= 0) return;
    this.recentRatios.push((now - machine.requestedAt) / type.bootS);
    if (this.recentRatios.length > SAMPLE_COUNT) this.recentRatios.shift();
  }

  /** Multiple of its type's boot time after which a booting machine is left out of the plan. */
  lateAfterBoots(): number {
    const sorted = [...this.recentRatios].sort((a, b) => a - b);
    return LATE_FACTOR * Math.max(1, sorted[Math.floor(sorted.length / 2)] ?? 1);
  }
}
