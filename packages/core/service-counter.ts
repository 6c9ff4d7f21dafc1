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

  /** Fleet-share seconds received up to `now`, old ones counting less. */
  read(now: number): number {
    const elapsedS = Math.max(0, now - this.valueAt);
    const kept = Math.pow(2, -elapsedS / this.halfLifeS);
    return this.value * kept + this.rate * (this.halfLifeS / Math.LN2) * (1 - kept);
  }

  /** Adds service that was not received over time. */
  charge(amount: number, now: number): void {
    this.value = this.read(now) + amount;
    this.valueAt = Math.max(this.valueAt, now);
  }

  /** From now on so much more (or, negative, less) of the fleet is received. */
  changeRate(share: number, now: number): void {
    this.value = this.read(now);
    this.valueAt = Math.max(this.valueAt, now);
    this.rate = Math.max(0, this.rate + share);
  }
}
