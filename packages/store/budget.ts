import { Clock, sleep } from '#wire';

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

  /** Milliseconds until `n` may be taken, 0 if now. */
  waitMs(n: number, urgent: boolean): number {
    this.refill();
    const floor = urgent ? 0 : this.perSecond / 4;
    const missing = Math.min(n, this.perSecond) + floor - this.level;
    return missing <= 0 ? 0 : Math.ceil((missing / this.perSecond) * 1000);
  }

  async take(n: number, urgent: boolean, signal?: AbortSignal): Promise<void> {
    for (;;) {
      const wait = this.waitMs(n, urgent);
      if (wait === 0) break;
      await sleep(this.clock, wait, signal);
    }
    this.level -= n;
  }
}
