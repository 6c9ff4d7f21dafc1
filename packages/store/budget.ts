/** A rate limiter for requests or changes, with priorities. */
import type { Clock, Timer } from '#wire';
import { FairQueue } from './fair-queue.js';

/**
 * Consumers of a budget: `urgent` for a few small requests on which other work waits, `background` for
 * the controller's own work, and `users` for requests of users.
 */
export type BudgetConsumer = 'urgent' | 'background' | 'users';

/** Weight of background work relative to users, whose weight is 1, while both wait. */
const BACKGROUND_WEIGHT = 3;
/** Time constant of the moving average of urgent and background consumption. */
const AVERAGING_S = 2;
/** A wait that counts as short. The bucket has spare units while it holds this many seconds' worth or more. */
const SHORT_WAIT_S = 1 / 2;

/** A pending request for units. */
interface Waiter {
  units: number;
  grant: () => void;
}

/**
 * A token bucket that holds at most one second's worth of its rate. Consumers of one kind are served in
 * first-in, first-out order. Urgent consumers go first; background work and users share the rest by weight
 * while both wait. A request for more than one second's worth is granted when the bucket is full, and the
 * bucket level goes negative, which delays later requests.
 */
export class Budget {
  /** Units in the bucket; negative after a grant of more units than it held. */
  private level: number;
  private refilledAt: number;
  private readonly urgentWaiters: Waiter[] = [];
  private readonly waiters = new FairQueue<Waiter>((consumer) =>
    consumer === 'users' ? 1 : BACKGROUND_WEIGHT,
  );
  /** Units consumed by urgent and background requests, decaying with time constant AVERAGING_S. */
  private internalUnits = 0;
  private internalUnitsAt: number;
  /** Fires when the next waiter can be granted. */
  private timer: Timer | null = null;

  /** `perSecond` is the rate in units per second, above 0. */
  constructor(
    private readonly clock: Clock,
    private perSecond: number,
  ) {
    this.level = perSecond;
    this.refilledAt = clock.now();
    this.internalUnitsAt = this.refilledAt;
  }

  /** Changes the rate, in units per second. */
  setRate(perSecond: number): void {
    this.refill();
    this.perSecond = perSecond;
    this.grantWaiting();
  }

  /** Units that can be granted without waiting; negative while a grant above the bucket's level is not refilled. */
  available(): number {
    this.refill();
    return this.level;
  }

  /** Whether at least half a second's worth is available, so that a few units hardly delay other consumers. */
  get hasSpareUnits(): boolean {
    return this.available() >= this.perSecond * SHORT_WAIT_S;
  }

  /** Units that can be granted after a short wait: those available, or half a second's worth if that is more. */
  availableSoon(): number {
    return Math.max(this.available(), this.perSecond * SHORT_WAIT_S);
  }

  /** Rate that is left to users beside recent urgent and background consumption, in units per second. */
  userUnitsPerS(): number {
    this.decayInternalUnits();
    const unused = this.perSecond - this.internalUnits / AVERAGING_S;
    return Math.max(unused, this.perSecond / (BACKGROUND_WEIGHT + 1));
  }

  /** Returns granted units that are not needed; a negative number takes more. */
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

  /** Grants units to waiters in order, and sets a timer for the first one that must still wait. */
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

  /** Milliseconds until the units can be granted; 0 if they can be granted now. */
  private waitMs(units: number): number {
    this.refill();
    const missing = Math.min(units, this.perSecond) - this.level;
    return missing <= 0 ? 0 : Math.ceil((missing / this.perSecond) * 1000);
  }
}
