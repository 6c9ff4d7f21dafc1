/** Adapts this controller's share of a rate limit to the use of the other controllers. */
import type { Clock } from '#wire';
import type { Budget } from './budget.js';

/** Bounds of one controller's share of a common rate limit, in units per second or as fractions of the limit. */
export interface RateBounds {
  /** Always allowed: the minimums of all controllers together are within the limit. */
  least: number;
  /** Allowed while the service refuses nothing: the maximums of all controllers together may exceed the limit. */
  most: number;
}

/** Factor by which a refusal reduces the rate. */
const DECREASE_FACTOR = 1 / 2;
/** Minimum time between two decreases: refusals within this time count as one overload. */
const MIN_DECREASE_INTERVAL_S = 1;
/** Time in which the rate grows from its minimum to its maximum. */
const RECOVERY_S = 20;

/**
 * A controller's share of a common rate limit. The controller does not know the use of the others, so the
 * share adapts by additive increase and multiplicative decrease: it halves when the service rate-limits a
 * request, and grows linearly while requests succeed.
 */
export class SharedRate {
  private bounds: RateBounds;
  private currentRate: number;
  private decreasedAt = -Infinity;
  private rateSetAt: number;

  /** Starts with `rate` in units per second, which stays fixed until `setBounds` is called. */
  constructor(
    private readonly clock: Clock,
    private readonly budget: Budget,
    rate: number,
  ) {
    this.bounds = { least: rate, most: rate };
    this.currentRate = rate;
    this.rateSetAt = clock.now();
  }

  /** Minimum rate as a fraction of the current rate. */
  get minShareRatio(): number {
    return this.bounds.least / this.currentRate;
  }

  /** Sets new bounds, and the rate to their maximum. */
  setBounds(bounds: RateBounds): void {
    this.bounds = bounds;
    this.applyRate(bounds.most);
  }

  /** Records that a request was rate-limited, and decreases the rate. */
  recordRefused(): void {
    const now = this.clock.now();
    if (now < this.decreasedAt + MIN_DECREASE_INTERVAL_S) return;
    this.decreasedAt = now;
    this.applyRate(Math.max(this.bounds.least, this.currentRate * DECREASE_FACTOR));
  }

  /** Records that a request succeeded, and increases the rate. */
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
