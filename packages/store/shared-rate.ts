/** Adapts this controller's share of a rate to what other controllers use of it. */
import type { Clock } from '#wire';
import type { Budget } from './budget.js';

/** Bounds of one controller's share of a rate that several controllers use; units a second, or shares of the rate. */
export interface RateBounds {
  /** It may always use so much: the least of all together are within the rate. */
  least: number;
  /** It may use so much while nobody is refused: the most of all together may be over the rate. */
  most: number;
}

/** Multiple of the share that is used after a refusal. */
const DECREASE_FACTOR = 1 / 2;
/** Least time between two decreases: refusals that come together show one excess. */
const MIN_DECREASE_INTERVAL_S = 1;
/** Seconds in which the share grows from its least to its most. */
const RECOVERY_S = 20;

/**
 * A controller's share of a rate, adapted to what the others leave without knowing what they use: it
 * shrinks by half when the service refuses a request for the rate, and grows steadily while it is served
 * (additive increase, multiplicative decrease).
 */
export class SharedRate {
  private bounds: RateBounds;
  private currentRate: number;
  private decreasedAt = -Infinity;
  private rateSetAt: number;

  /** Begins with a rate in units a second, which is fixed until bounds are set. */
  constructor(
    private readonly clock: Clock,
    private readonly budget: Budget,
    rate: number,
  ) {
    this.bounds = { least: rate, most: rate };
    this.currentRate = rate;
    this.rateSetAt = clock.now();
  }

  /** What the share falls to if the service goes on refusing, as a fraction of what it is now. */
  get minShareRatio(): number {
    return this.bounds.least / this.currentRate;
  }

  /** Sets other bounds; begins with the most. */
  setBounds(bounds: RateBounds): void {
    this.bounds = bounds;
    this.applyRate(bounds.most);
  }

  /** Records that a request was refused because all controllers together asked for too much. */
  recordRefused(): void {
    const now = this.clock.now();
    if (now < this.decreasedAt + MIN_DECREASE_INTERVAL_S) return;
    this.decreasedAt = now;
    this.applyRate(Math.max(this.bounds.least, this.currentRate * DECREASE_FACTOR));
  }

  /** Records that a request was served. */
  recordServed(): void {
    const { least, most } = this.bounds;
    if (this.currentRate >= most) return;
    const grown = ((this.clock.now() - this.rateSetAt) / RECOVERY_S) * (most - least);
    this.applyRate(Math.min(most, this.currentRate + grown));
  }

  private applyRate(perSecond: number): void {
    this.rateSetAt = this.clock.now();
    this.currentRate = perSecond;
    this.budget.setRate(perSecond);
  }
}
