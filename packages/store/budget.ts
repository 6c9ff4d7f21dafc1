/** A rate of requests or changes that this controller may use, and who gets it first. */
import type { Clock, Timer } from '#wire';
import { FairQueue } from './fair-queue.js';

/**
 * Who consumes a budget: `urgent` are few small requests that hold up everybody else; `background` is
 * what the controller does by itself; `users` is what users ask for.
 */
export type BudgetConsumer = 'urgent' | 'background' | 'users';

/** While background work and users wait, the former gets so many times as much as the latter. */
const BACKGROUND_WEIGHT = 3;
/** Time constant of the average of what others than users consume. */
const AVERAGING_S = 2;
/** A wait that hardly matters. */
const SHORT_WAIT_S = 1 / 2;

/** A consumer that waits for its units. */
interface Waiter {
  units: number;
  grant: () => void;
}

/**
 * A token bucket that holds one second's worth of its rate. Consumers of a kind are served in the order
 * in which they came; urgent ones go before all others, and while background work and users wait they
 * share by weight. One consumer may want more than a second's worth at once: it is granted when the
 * bucket is full, and what is missing delays those that follow.
 */
export class Budget {
  /** Units in the bucket; negative while more was granted than it held. */
  private level: number;
  private refilledAt: number;
  private readonly urgentWaiters: Waiter[] = [];
  private readonly waiters = new FairQueue<Waiter>((consumer) =>
    consumer === 'users' ? 1 : BACKGROUND_WEIGHT,
  );
  /** Units that others than users have consumed, forgotten over AVERAGING_S. */
  private internalUnits = 0;
  private internalUnitsAt: number;
  /** Runs until the first that waits can be served. */
  private timer: Timer | null = null;

  /** `perSecond` is the rate in units a second, above 0. */
  constructor(
    private readonly clock: Clock,
    private perSecond: number,
  ) {
    this.level = perSecond;
    this.refilledAt = clock.now();
    this.internalUnitsAt = this.refilledAt;
  }

  /** Sets another rate, in units a second. */
  setRate(perSecond: number): void {
    this.refill();
    this.perSecond = perSecond;
    this.grantWaiting();
  }

  /** Units that can be granted at once; below 0 while earlier consumers are not made up for. */
  available(): number {
    this.refill();
    return this.level;
  }

  /** Half a second's worth or more is available, so that others hardly notice a few units. */
  get hasSpareUnits(): boolean {
    return this.available() >= this.perSecond * SHORT_WAIT_S;
  }

  /** Units that can be granted with little waiting: those available, or half a second's worth if that is more. */
  availableSoon(): number {
    return Math.max(this.available(), this.perSecond * SHORT_WAIT_S);
  }

  /** Units a second that users can count on beside what others have consumed of late. */
  userUnitsPerS(): number {
    this.decayInternalUnits();
    const unused = this.perSecond - this.internalUnits / AVERAGING_S;
    return Math.max(unused, this.perSecond / (BACKGROUND_WEIGHT + 1));
  }

  /** Gives back units that were granted and are not needed; a negative number takes more. */
  refund(units: number): void {
    this.refill();
    this.level = Math.min(this.perSecond, this.level + units);
    this.grantWaiting();
  }

  /** Resolves once the units are granted; rejects with the signal's reason if it aborts before. */
  acquireFor(consumer: BudgetConsumer, units: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason as Error);
        return;
      }
      const onAbort = () => {
        this.removeWaiter(consumer, waiter);
        reject(signal?.reason as Error);
        this.grantWaiting();
      };
      const grant = () => {
        if (consumer !== 'users') this.addInternalUnits(units);
        signal?.removeEventListener('abort', onAbort);
        resolve();
      };
      const waiter: Waiter = { units, grant };
      signal?.addEventListener('abort', onAbort, { once: true });
      if (consumer === 'urgent') this.urgentWaiters.push(waiter);
      else this.waiters.push(consumer, waiter);
      this.grantWaiting();
    });
  }

  private removeWaiter(consumer: BudgetConsumer, waiter: Waiter): void {
    if (consumer === 'urgent') this.urgentWaiters.splice(this.urgentWaiters.indexOf(waiter), 1);
    else this.waiters.remove(consumer, waiter);
  }

  private addInternalUnits(units: number): void {
    this.decayInternalUnits();
    this.internalUnits += units;
  }

  private decayInternalUnits(): void {
    const now = this.clock.now();
    this.internalUnits *= Math.exp((this.internalUnitsAt - now) / AVERAGING_S);
    this.internalUnitsAt = now;
  }

  private refill(): void {
    const now = this.clock.now();
    const gained = (now - this.refilledAt) * this.perSecond;
    this.level = Math.min(this.perSecond, this.level + gained);
    this.refilledAt = now;
  }

  /** Grants what it can, in order, and calls itself again when the next can be granted. */
  private grantWaiting(): void {
    this.timer?.cancel();
    this.timer = null;
    for (;;) {
      const next = this.urgentWaiters.length > 0 ? this.urgentWaiters[0] : this.waiters.peek();
      if (!next) return;
      const { units, grant } = next;
      const waitMs = this.waitMs(units);
      if (waitMs > 0) {
        this.timer = this.clock.setTimer(() => {
          this.grantWaiting();
        }, waitMs);
        return;
      }
      if (next === this.urgentWaiters[0]) this.urgentWaiters.shift();
      else this.waiters.shift(units);
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
