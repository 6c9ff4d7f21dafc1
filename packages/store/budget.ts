import { Clock, sleep } from '#wire';

/** Share of a second's worth that is left to urgent takers. */
const RESERVE = 1 / 4;

/** A rate with one second's worth of burst. Urgent takers overdraw; others wait for a reserve. */
export class Budget {
  private level: number;
  private refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private perSecond: number,
  ) {
    this.level = perSecond;
    this.refilledAt = clock.now();
  }

  /** Another rate from now on. */
  change(perSecond: number): void {
    this.refill();
    this.perSecond = perSecond;
  }

  private refill(): void {
    const now = this.clock.now();
    const gained = (now - this.refilledAt) * this.perSecond;
    this.level = Math.min(this.perSecond, this.level + gained);
    this.refilledAt = now;
  }

  left(): number {
    this.refill();
    return this.level;
  }

  /** Milliseconds until so many may be taken, 0 if now. */
  waitMs(count: number, urgent: boolean): number {
    this.refill();
    const floor = urgent ? 0 : this.perSecond * RESERVE;
    const missing = Math.min(count, this.perSecond) + floor - this.level;
    return missing <= 0 ? 0 : Math.ceil((missing / this.perSecond) * 1000);
  }

  async take(count: number, urgent: boolean, signal?: AbortSignal): Promise<void> {
    for (;;) {
      const wait = this.waitMs(count, urgent);
      if (wait === 0) break;
      await sleep(this.clock, wait, signal);
    }
    this.level -= count;
  }
}
