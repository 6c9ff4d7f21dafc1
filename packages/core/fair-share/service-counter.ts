/** Service: the share of the fleet that a team or a job has received over time. */

/** Rates are sums of decimal numbers; what is below this is rounding. */
const RATE_TOLERANCE = 1e-12;

/**
 * Service received, decayed by half-life: an integral of a rate that changes only at known moments,
 * so its value is exact at any time without periodic sampling. Times are seconds of the steady clock.
 */
export class ServiceCounter {
  private value = 0;
  private rate = 0;
  private valueAt: number;

  constructor(
    private readonly halfLifeS: number,
    now: number,
  ) {
    this.valueAt = now;
  }

  /** Fleet-share seconds received up to `now`, older ones counting less. */
  read(now: number): number {
    const elapsedS = Math.max(0, now - this.valueAt);
    const decay = Math.pow(2, -elapsedS / this.halfLifeS);
    return this.value * decay + this.rate * (this.halfLifeS / Math.LN2) * (1 - decay);
  }

  /** Adds an amount of service, in fleet-share seconds, at once. */
  charge(amount: number, now: number): void {
    this.value = this.read(now) + amount;
    this.valueAt = Math.max(this.valueAt, now);
  }

  /**
   * A key by which counters that receive nothing at present sort as by `read` at any time, since all of
   * them decay alike. -Infinity if nothing was ever received.
   */
  idleSortKey(): number {
    return this.value === 0 ? -Infinity : Math.log2(this.value) + this.valueAt / this.halfLifeS;
  }

  /** From now on so much more (or, if negative, less) of the fleet is received. */
  changeRate(share: number, now: number): void {
    this.value = this.read(now);
    this.valueAt = Math.max(this.valueAt, now);
    const rate = this.rate + share;
    this.rate = rate < RATE_TOLERANCE ? 0 : rate;
  }
}
