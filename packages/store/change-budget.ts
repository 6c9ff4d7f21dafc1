/** Budget for changes: this controller's share of the change rate limit of the state service. */
import type { Clock } from '#wire';
import { Budget, type BudgetConsumer } from './budget.js';
import { type RateBounds, SharedRate } from './shared-rate.js';
import type { StateLimits } from './state-limits.js';

/** Maximum wait of a transaction of user changes, at the rate that is available to them. */
const MAX_USER_TXN_WAIT_S = 1 / 2;

/** Grants changes (puts and deletes) to transactions, and lowers its rate when the service refuses some. */
export class ChangeBudget {
  private readonly budget: Budget;
  private readonly sharedRate: SharedRate;

  /** `share` is the initial fraction of the service's rate limit. */
  constructor(
    clock: Clock,
    private readonly limits: StateLimits,
    share: number,
  ) {
    const perSecond = limits.writeRps * share;
    this.budget = new Budget(clock, perSecond);
    this.sharedRate = new SharedRate(clock, this.budget, perSecond);
  }

  /** Sets the bounds of this controller's share, as fractions of the service's rate limit. */
  setShares({ least, most }: RateBounds): void {
    const { writeRps } = this.limits;
    this.sharedRate.setBounds({ least: least * writeRps, most: most * writeRps });
  }

  /** Changes that can be granted without waiting. */
  get available(): number {
    return this.budget.available();
  }

  /** Whether the budget has room for deferrable changes, so that they hardly delay others. */
  get hasSpareChanges(): boolean {
    return this.budget.hasSpareUnits;
  }

  /** Rate that is available to user changes, in changes per second. */
  get userChangesPerS(): number {
    return this.budget.userUnitsPerS();
  }

  /** Seconds until so many user changes are sent: at the present rate, and at this controller's minimum rate. */
  userWaitS(changes: number): { expected: number; longest: number } {
    const expected = Math.max(0, changes - this.available) / this.userChangesPerS;
    return { expected, longest: expected / this.sharedRate.minShareRatio };
  }

  /** Maximum number of changes in a transaction that should not wait long; at least 1. */
  get maxTxnChanges(): number {
    const availableSoon = Math.floor(this.budget.availableSoon());
    return Math.max(1, Math.min(this.limits.txnOps, availableSoon));
  }

  /** Resolves once the changes are granted; rejects with the signal's reason if it aborts before. */
  acquire(consumer: BudgetConsumer, changes: number, signal: AbortSignal): Promise<void> {
    return this.budget.acquireFor(consumer, changes, signal);
  }

  /** Resolves with the number of wanted user changes that are granted; rejects if the signal aborts before. */
  async reserveForUsers(wanted: number, signal: AbortSignal): Promise<number> {
    const availableSoon = Math.floor(
      Math.max(this.available, this.userChangesPerS * MAX_USER_TXN_WAIT_S),
    );
    const changes = Math.max(1, Math.min(wanted, this.limits.txnOps, availableSoon));
    await this.acquire('users', changes, signal);
    return changes;
  }

  /** Like `reserveForUsers`, for changes of the controller's own background work. */
  async reserve(wanted: number, signal: AbortSignal): Promise<number> {
    const changes = Math.max(1, Math.min(wanted, this.maxTxnChanges));
    await this.acquire('background', changes, signal);
    return changes;
  }

  /** Returns granted changes that were not sent; a negative number takes more. */
  refund(changes: number): void {
    this.budget.refund(changes);
  }

  /** Records that the service executed a transaction. */
  recordServed(): void {
    this.sharedRate.recordServed();
  }

  /** Records that the service rate-limited a transaction. */
  recordRefused(): void {
    this.sharedRate.recordRefused();
  }
}
