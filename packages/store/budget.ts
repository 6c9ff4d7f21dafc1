import { Clock, Timer } from '#wire';
import { FairQueue } from './fair-queue.js';

/**
 * Who takes of a budget: `urgent` are few small requests that hold up everybody else; `duty` is what the
 * controller does by itself; `users` is what users ask for.
 */
export type Taker = 'urgent' | 'duty' | 'users';

/** Of what duties and users take while both wait, the duties get so many times as much as the users. */
const DUTY_WEIGHT = 3;
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
  private readonly line = new FairQueue<Waiter>((taker) => (taker === 'users' ? 1 : DUTY_WEIGHT));
  /** Units that others than users have taken, forgotten over AVERAGED_S. */
  private dutyUnits = 0;
  private dutyUnitsAt: number;
  /** Runs until the first in line can be served. */
  private timer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    private perSecond: number,
  ) {
    this.level = perSecond;
    this.refilledAt = clock.now();
    this.dutyUnitsAt = this.refilledAt;
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
    this.forgetDutyUnits();
    const left = this.perSecond - this.dutyUnits / AVERAGED_S;
    return Math.max(left, this.perSecond / (DUTY_WEIGHT + 1));
  }

  /** What was taken and is not needed after all, or a negative number if more was needed. */
  giveBack(units: number): void {
    this.refill();
    this.level = Math.min(this.perSecond, this.level + units);
    this.serve();
  }

  /** For the controller's own duties, or urgently. */
  take(units: number, urgent: boolean, signal?: AbortSignal): Promise<void> {
    return this.takeFor(urgent ? 'urgent' : 'duty', units, signal);
  }

  /** Resolves once the units are taken; rejects with the signal's reason. */
  takeFor(taker: Taker, units: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason as Error);
        return;
      }
      const onAbort = () => {
        if (taker === 'urgent') this.urgentLine.splice(this.urgentLine.indexOf(waiter), 1);
        else this.line.remove(taker, waiter);
        reject(signal?.reason as Error);
        this.serve();
      };
      const grant = () => {
        if (taker !== 'users') this.countDuty(units);
        signal?.removeEventListener('abort', onAbort);
        resolve();
      };
      const waiter: Waiter = { units, grant };
      signal?.addEventListener('abort', onAbort, { once: true });
      if (taker === 'urgent') this.urgentLine.push(waiter);
      else this.line.push(taker, waiter);
      this.serve();
    });
  }

  private countDuty(units: number): void {
    this.forgetDutyUnits();
    this.dutyUnits += units;
  }

  private forgetDutyUnits(): void {
    const now = this.clock.now();
    this.dutyUnits *= Math.exp((this.dutyUnitsAt - now) / AVERAGED_S);
    this.dutyUnitsAt = now;
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
