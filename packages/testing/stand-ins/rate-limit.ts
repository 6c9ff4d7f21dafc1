/** The rate limit of a service. */
import type { Clock } from '#wire';

/** A token bucket that refills at `perSecond` units and holds up to `burstS` seconds of refill. */
export class RateLimit {
  private available: number;
  private refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burstS: number,
  ) {
    this.available = perSecond * burstS;
    this.refilledAt = clock.now();
  }

  /** Takes the units and returns true, or takes nothing and returns false if too few are available. */
  tryTake(units: number): boolean {
    this.refill();
    if (units > this.available) return false;
    this.available -= units;
    return true;
  }

  private refill(): void {
    const now = this.clock.now();
    const gained = (now - this.refilledAt) * this.perSecond;
    this.available = Math.min(this.perSecond * this.burstS, this.available + gained);
    this.refilledAt = now;
  }
}
