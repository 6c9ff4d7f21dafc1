/** The rate limit of a service. */
import type { Clock } from '#wire';

/** A token bucket: so many units a second, with bursts of so many seconds' worth. */
export class RateLimit {
  private level: number;
  private filledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burstS: number,
  ) {
    this.level = perSecond * burstS;
    this.filledAt = clock.now();
  }

  /** Takes the units and says true, or takes nothing and says false. */
  take(units: number): boolean {
    this.refill();
    if (units > this.level) return false;
    this.level -= units;
    return true;
  }

  private refill(): void {
    const now = this.clock.now();
    const gained = (now - this.filledAt) * this.perSecond;
    this.level = Math.min(this.perSecond * this.burstS, this.level + gained);
    this.filledAt = now;
  }
}
