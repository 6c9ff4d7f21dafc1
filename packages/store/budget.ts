import { Clock, Timer } from '#wire';
import { FairQueue } from './fair-queue.js';

/**
 * Who takes of a budget: `urgent` are few small requests that hold up everybody else; `duty` is what the
 * controller does by itself; `users` is what users ask for.
 */
export type BudgetConsumer = 'urgent' | 'duty' | 'users';

/** Of what duties and users take while both wait, the duties get so many times as much as the users. */
const INTERNAL_WEIGHT = 3;
/** Seconds over which the rate at which duties take is averaged. */
const AVERAGED_S = 2;

interface Waiter {
  units: number;
  grant: () => void;
}

/**
 * A rate with one second's worth of burst. Takers of a kind are served in the order in which they came;
 * urgent ones go before all others, and while duties and users wait they share by weight. What is taken
 * at once may be more than a second's worth; it is granted when the budget is full and paid for afterwards.
 */
export class Budget {
  private level: number;
  private refilledAt: number;
  private readonly urgentLine: Waiter[] = [];
  private readonly line = new FairQueue<Waiter>((consumer) =>
    consumer === 'users' ? 1 : INTERNAL_WEIGHT,
  );
  /** Units that others than users have taken, forgotten over AVERAGED_S. */
  private internalUnits = 0;
  private internalUnitsAt: number;
  /** Runs until the first in line can be served. */
  private timer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    private perSecond: number,
  ) {
    this.level = perSecond;
    this.refilledAt = clock.now();
    this.internalUnitsAt = this.refilledAt;
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

  /** Units a second that users can count on beside what the duties have taken of late. */
  usersPerSecond(): number {
    this.expireInternalUnits();
    const left = this.perSecond - this.internalUnits / AVERAGED_S;
    return Math.max(left, this.perSecond / (INTERNAL_WEIGHT + 1));
  }

  /** What was taken and is not needed after all, or a negative number if more was needed. */
  refund(units: number): void {
    this.refill();
    this.level = Math.min(this.perSecond, this.level + units);
    this.serve();
  }

  /** For the controller's own duties, or urgently. */
  acquire(units: number, urgent: boolean, signal?: AbortSignal): Promise<void> {
    return this.acquireFor(urgent ? 'urgent' : 'duty', units, signal);
  }

  /** Resolves once the units are taken; rejects with the signal's reason. */
  acquireFor(consumer: BudgetConsumer, units: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason as Error);
        return;
      }
      const onAbort = () => {
        if (consumer === 'urgent') this.urgentLine.splice(this.urgentLine.indexOf(waiter), 1);
        else this.line.remove(consumer, waiter);
        reject(signal?.reason as Error);
        this.serve();
      };
      const grant = () => {
        if (consumer !== 'users') this.countInternal(units);
        signal?.removeEventListener('abort', onAbort);
        resolve();
      };
      const waiter: Waiter = { units, grant };
      signal?.addEventListener('abort', onAbort, { once: true });
      if (consumer === 'urgent') this.urgentLine.push(waiter);
      else this.line.push(consumer, waiter);
      this.serve();
    });
  }

  private countInternal(units: number): void {
    this.expireInternalUnits();
    this.internalUnits += units;
  }

  private expireInternalUnits(): void {
    const now = this.clock.now();
    this.internalUnits *= Math.exp((this.internalUnitsAt - now) / AVERAGED_S);
    this.internalUnitsAt = now;
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
      const next = this.urgentLine.length > 0 ? this.urgentLine[0] : this.line.peek();
      if (!next) return;
      const { units, grant } = next;
      const waitMs = this.waitMs(units);
      if (waitMs > 0) {
        this.timer = this.clock.setTimer(() => this.serve(), waitMs);
        return;
      }
      if (next === this.urgentLine[0]) this.urgentLine.shift();
      else this.line.shift(units);
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
