import type { Clock } from '#wire';
import type { Budget } from './budget.js';

/** Bounds of one controller's part of a rate that it shares with others; units a second. */
export interface RateBounds {
  /** It may always use so much: the least of all together are within the rate. */
  least: number;
  /** It may use so much while nobody is refused: the most of all together may be over the rate. */
  most: number;
}

/** What is left of the part after a refusal. */
const BACK_OFF = 1 / 2;
/** Seconds from one step down to the next: refusals that come together show one excess. */
const STEP_S = 1;
/** Seconds in which the part grows from its least to its most. */
const RECOVERY_S = 20;

/**
 * Adapts a controller's part of a shared rate to what the others leave of it, without knowing what they use:
 * it shrinks by half when the service refuses a request for the rate, and grows steadily while it is served
 * (additive increase, multiplicative decrease).
 */
export class SharedRate {
  private bounds: RateBounds;
  private current: number;
  private steppedDownAt = -Infinity;
  private grownAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly budget: Budget,
    rate: number,
  ) {
    this.bounds = { least: rate, most: rate };
    this.current = rate;
    this.grownAt = clock.now();
  }

  /** What is left of the part if the service goes on refusing, as a share of what it is now. */
  get leastShare(): number {
    return this.bounds.least / this.current;
  }

  /** Other bounds from now on; begins with the most. */
  bound(bounds: RateBounds): void {
    this.bounds = bounds;
    this.set(bounds.most);
  }

  /** A request was refused because all together asked for too much. */
  refused(): void {
    const now = this.clock.now();
    if (now < this.steppedDownAt + STEP_S) return;
    this.steppedDownAt = now;
    this.set(Math.max(this.bounds.least, this.current * BACK_OFF));
  }

  served(): void {
    const { least, most } = this.bounds;
    if (this.current >= most) return;
    const grown = ((this.clock.now() - this.grownAt) / RECOVERY_S) * (most - least);
    this.set(Math.min(most, this.current + grown));
  }

  private set(perSecond: number): void {
    this.grownAt = this.clock.now();
    this.current = perSecond;
    this.budget.change(perSecond);
  }
}
