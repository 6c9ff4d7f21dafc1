/** This controller's share of the rate at which the state service takes changes. */
import type { Clock } from '#wire';
import { Budget, type BudgetConsumer } from './budget.js';
import { type RateBounds, SharedRate } from './shared-rate.js';
import type { StateLimits } from './state-limits.js';

/** Seconds' worth of the users' rate for which one transaction of theirs waits at the most. */
const MAX_USER_TXN_WAIT_S = 1 / 2;

/** Grants changes (puts and deletes) to transactions, and adapts to what the service refuses. */
export class ChangeBudget {
  private readonly budget: Budget;
  private readonly sharedRate: SharedRate;

  /** `share` is the share of the service's rate with which it begins. */
  constructor(
    clock: Clock,
    private readonly limits: StateLimits,
    share: number,
  ) {
    const perSecond = limits.writeRps * share;
    this.budget = new Budget(clock, perSecond);
    this.sharedRate = new SharedRate(clock, this.budget, perSecond);
  }

  /** Sets the bounds of this controller's share of the service's rate. */
  setShares({ least, most }: RateBounds): void {
    const { writeRps } = this.limits;
    this.sharedRate.setBounds({ least: least * writeRps, most: most * writeRps });
  }

  /** Changes that may be made at once. */
  get available(): number {
    return this.budget.available();
  }

  /** So many are available that others hardly notice a few changes. */
  get hasSpareChanges(): boolean {
    return this.budget.hasSpareUnits;
  }

  /** Changes a second that users can count on. */
  get userChangesPerS(): number {
    return this.budget.userUnitsPerS();
  }

  /** Seconds until so many changes of users are sent, now and if the other controllers use all they may. */
  userWaitS(changes: number): { expected: number; longest: number } {
    const expected = Math.max(0, changes - this.available) / this.userChangesPerS;
    return { expected, longest: expected / this.sharedRate.minShareRatio };
  }

  /** Changes that one transaction may hold without a long wait; at least one. */
  get maxTxnChanges(): number {
    const availableSoon = Math.floor(this.budget.availableSoon());
    return Math.max(1, Math.min(this.limits.txnOps, availableSoon));
  }

  /** Resolves once the changes are granted; rejects with the signal's reason. */
  acquire(consumer: BudgetConsumer, changes: number, signal: AbortSignal): Promise<void> {
    return this.budget.acquireFor(consumer, changes, signal);
  }

  /** Resolves with how many of the wanted changes are granted to users; rejects with the signal's reason. */
  async reserveForUsers(wanted: number, signal: AbortSignal): Promise<number> {
    const availableSoon = Math.floor(
      Math.max(this.available, this.userChangesPerS * MAX_USER_TXN_WAIT_S),
    );
    const changes = Math.max(1, Math.min(wanted, this.limits.txnOps, availableSoon));
    await this.acquire('users', changes, signal);
    return changes;
  }

  /** The same for the controller itself. */
  async reserve(wanted: number, signal: AbortSignal): Promise<number> {
    const changes = Math.max(1, Math.min(wanted, this.maxTxnChanges));
    await this.acquire('background', changes, signal);
    return changes;
  }

  /** Gives back changes that were granted and not sent; a negative number takes more. */
  refund(changes: number): void {
    this.budget.refund(changes);
  }

  /** Records that the service carried out a transaction. */
  recordServed(): void {
    this.sharedRate.recordServed();
  }

  /** Records that the service refused a transaction for the rate. */
  recordRefused(): void {
    this.sharedRate.recordRefused();
  }
}
