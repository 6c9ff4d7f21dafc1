/** Spot prices that change with time. */
import type { MachineType, Runtime } from '#wire';

const MAX_DEVIATION = 1 / 3;
const PRICE_PERIOD_S = 60;

/** Spot prices that move by up to a third around their nominal values. */
export class SpotPrices {
  private readonly factors = new Map<string, { factor: number; drawnAt: number }>();

  constructor(private readonly runtime: Runtime) {}

  /** The type with its present spot price. */
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
