import { Clock, Timer } from '#wire';

interface Waiter {
  units: number;
  grant: () => void;
}

/**
 * A rate with one second's worth of burst. Takers are served in the order in which they came, urgent
 * ones before all others, so nobody waits longer than those before need. What is taken at once may be
 * more than a second's worth; it is granted when the budget is full and paid for afterwards.
 */
export class Budget {
  private level: number;
  private refilledAt: number;
  private readonly urgentLine: Waiter[] = [];
  private readonly line: Waiter[] = [];
  /** Runs until the first in line can be served. */
  private timer: Timer | null = null;

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
    this.serve();
  }

  left(): number {
    this.refill();
    return this.level;
  }

  /** Half a second's worth or more is left, so that others hardly notice a small taker. */
  get ample(): boolean {
    return this.left() >= this.perSecond / 2;
  }

  /** What can be taken with little waiting: what is left, or half a second's worth if that is more. */
  soon(): number {
    return Math.max(this.left(), this.perSecond / 2);
  }

  /**
   * Resolves once the units are taken; rejects with the signal's reason. Urgent are few small requests
   * only: they hold up everybody else.
   */
  take(units: number, urgent: boolean, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason as Error);
        return;
      }
      const line = urgent ? this.urgentLine : this.line;
      const onAbort = () => {
        line.splice(line.indexOf(waiter), 1);
        reject(signal?.reason as Error);
        this.serve();
      };
      const grant = () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      };
      const waiter: Waiter = { units, grant };
      signal?.addEventListener('abort', onAbort, { once: true });
      line.push(waiter);
      this.serve();
    });
  }

  private refill(): void {
    const now = this.clock.now();
    const gained = (now - this.refilledAt) * this.perSecond;
    this.level = Math.min(this.perSecond, this.level + gained);
    this.refilledAt = now;
  }

  private serve(): void {
    this.timer?.cancel();
    this.timer = null;
    for (;;) {
      const line = this.urgentLine.length > 0 ? this.urgentLine : this.line;
      if (line.length === 0) return;
      const { units, grant } = line[0];
      const waitMs = this.waitMs(units);
      if (waitMs > 0) {
        this.timer = this.clock.setTimer(() => this.serve(), waitMs);
        return;
      }
      line.shift();
      this.level -= units;
      grant();
    }
  }

  /** Milliseconds until so many units can be granted, 0 if now. */
  private waitMs(units: number): number {
    this.refill();
    const missing = Math.min(units, this.perSecond) - this.level;
    return missing <= 0 ? 0 : Math.ceil((missing / this.perSecond) * 1000);
  }
}
