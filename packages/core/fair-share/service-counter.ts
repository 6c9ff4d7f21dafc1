/** Measures service: the share of the fleet that a team or a job uses, integrated over time. */

/** A rate below this is set to 0. Rates are sums of decimal fractions, so a smaller rate is only a rounding error. */
const RATE_TOLERANCE = 1e-12;

/**
 * Service received, with exponential decay by a half-life. It is the integral of a rate that changes only in
 * calls of `changeRate`, so its value is exact at any time without periodic sampling. Times are seconds of the
 * monotonic clock.
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

  /** Decayed service received up to `now`: shares of the fleet multiplied by seconds. */
  read(now: number): number {
    const elapsedS = Math.max(0, now - this.valueAt);
    const decay = Math.pow(2, -elapsedS / this.halfLifeS);
    return this.value * decay + this.rate * (this.halfLifeS / Math.LN2) * (1 - decay);
  }

  /** Adds an amount of service (share of the fleet multiplied by seconds) at time `now`. */
  charge(amount: number, now: number): void {
    this.value = this.read(now) + amount;
    this.valueAt = Math.max(this.valueAt, now);
  }

  /**
   * Sort key for counters whose rate is 0: it orders them as `read` would at any time, since all counters decay
   * with the same half-life. -Infinity if no service was ever received.
   */
  idleSortKey(): number {
    return this.value === 0 ? -Infinity : Math.log2(this.value) + this.valueAt / this.halfLifeS;
  }

  /** Adds `share`, which may be negative, to the share of the fleet that is received from `now` on. */
  changeRate(share: number, now: number): void {
    this.value = this.read(now);
    this.valueAt = Math.max(this.valueAt, now);
    const rate = this.rate + share;
    this.rate = rate < RATE_TOLERANCE ? 0 : rate;
  }
}
