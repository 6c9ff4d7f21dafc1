/** Spot prices that change over time. */
import type { MachineType, Runtime } from '#wire';

/** Largest deviation from the nominal price, as a share of it. */
const MAX_DEVIATION = 1 / 3;
const PRICE_PERIOD_S = 60;

/** Draws the spot price of each machine type anew every minute, within a third of its nominal price. */
export class SpotPrices {
  private readonly factors = new Map<string, { factor: number; drawnAt: number }>();

  constructor(private readonly runtime: Runtime) {}

  /** Returns the machine type with its current spot price. */
  current(type: MachineType): MachineType {
    return { ...type, spotPrice: type.spotPrice * this.factorOf(type.name) };
  }

  private factorOf(type: string): number {
    const now = this.runtime.clock.now();
    const known = this.factors.get(type);
    if (known && now - known.drawnAt < PRICE_PERIOD_S) return known.factor;
    const factor = 1 + (this.runtime.random() * 2 - 1) * MAX_DEVIATION;
    this.factors.set(type, { factor, drawnAt: now });
    return factor;
  }
}
