/** Sends requests and transactions to the state service within this controller's share of the rate limits. */
import { setMaxListeners } from 'node:events';
import {
  type Change,
  type Clock,
  type Condition,
  type StateApi,
  TxnMalformed,
  type TxnOutcome,
} from '#wire';
import { Budget, type BudgetConsumer } from './budget.js';
import { ChangeBudget } from './change-budget.js';
import { isRefusedForRate } from './rate-refusal.js';
import { ServiceHealth } from './service-health.js';
import type { RateBounds } from './shared-rate.js';
import type { StateLimits } from './state-limits.js';

/** Sends one request through the API of the state service. */
type Request<T> = (api: StateApi) => Promise<T>;

/**
 * A client of the state service that keeps to this controller's share of the rate limits and tracks
 * whether the service is available. Each request first waits for its budget. A request rejects with
 * NoAnswer if its outcome is unknown, with StateRefused if the service did not execute it, with
 * TxnMalformed if a retry cannot succeed, and with the reason of its signal if the signal aborts while
 * the request waits for the budget.
 */
export class StateClient {
  private readonly requestBudget: Budget;
  private readonly changeBudget: ChangeBudget;
  private readonly health = new ServiceHealth();
  private readonly closing = new AbortController();
  /** Requests sent since this client was created. */
  requestsSent = 0;
  /** Requests that the service rate-limited since this client was created. */
  requestsRefused = 0;
  /** Puts and deletes sent since this client was created. */
  changesSent = 0;

  /** `share` is the fraction of the rate limits that this controller may use, above 0 and at most 1. */
  constructor(
    private readonly clock: Clock,
    private readonly api: StateApi,
    readonly limits: StateLimits,
    share: number,
  ) {
    this.requestBudget = new Budget(clock, limits.rps * share);
    this.changeBudget = new ChangeBudget(clock, limits, share);
    // Each request that waits for a budget adds a listener; without 0 (no limit) Node.js warns of a leak.
    setMaxListeners(0, this.closing.signal);
  }

  /** A signal that aborts once this client is closed. */
  get closeSignal(): AbortSignal {
    return this.closing.signal;
  }

  /** Closes the client: pending and later requests fail. */
  close(): void {
    this.closing.abort();
    this.api.close();
  }

  /** Send time of the latest request that succeeded, in seconds of the monotonic clock. */
  get lastSuccessAt(): number {
    return this.health.lastSuccessAt;
  }

  /** Send time of the latest request that was refused or got no answer, in seconds of the monotonic clock. */
  get lastFailureAt(): number {
    return this.health.lastFailureAt;
  }

  /** Send time of the first request that failed since the last success, in seconds of the monotonic clock. */
  get failingSince(): number {
    return this.health.failingSince;
  }

  /** Whether the latest request with a known outcome failed. */
  get isFailing(): boolean {
    return this.health.isFailing;
  }

  /** Sets the minimum and maximum share of the change rate that this controller may use. */
  setChangeShares(shares: RateBounds): void {
    this.changeBudget.setShares(shares);
  }

  /** Seconds until so many user changes are sent: at the present rate, and at this controller's minimum rate. */
  userWaitS(changes: number): { expected: number; longest: number } {
    return this.changeBudget.userWaitS(changes);
  }

  /** Rate that is available to user changes, in changes per second. */
  get userChangesPerS(): number {
    return this.changeBudget.userChangesPerS;
  }

  /** Requests and changes that this controller can send without waiting. */
  available(): { requests: number; changes: number } {
    return { requests: this.requestBudget.available(), changes: this.changeBudget.available };
  }

  /** Maximum number of changes in a transaction that should not wait long for the budget; at least 1. */
  get maxTxnChanges(): number {
    return this.changeBudget.maxTxnChanges;
  }

  /** Whether the budget has room for deferrable changes, so that they hardly delay others. */
  get hasSpareChanges(): boolean {
    return this.changeBudget.hasSpareChanges;
  }

  /** Sends a small request on which other work waits; it goes ahead of all non-urgent requests. */
  async callUrgent<T>(signal: AbortSignal | undefined, run: Request<T>): Promise<T> {
    return this.callFor('urgent', signal, run);
  }

  /** Sends a request of the controller's own background work, in first-in, first-out order. */
  async callInBackground<T>(signal: AbortSignal | undefined, run: Request<T>): Promise<T> {
    return this.callFor('background', signal, run);
  }

  /** Sends a transaction ahead of all non-urgent ones. */
  async txnUrgent(
    conditions: Condition[],
    changes: Change[],
    signal?: AbortSignal,
  ): Promise<TxnOutcome> {
    return this.txnFor('urgent', conditions, changes, signal);
  }

  /** Sends a transaction of the controller's own background work, in first-in, first-out order. */
  async txnInBackground(
    conditions: Condition[],
    changes: Change[],
    signal?: AbortSignal,
  ): Promise<TxnOutcome> {
    return this.txnFor('background', conditions, changes, signal);
  }

  /**
   * Reserves budget for user changes. Resolves with the number granted, at most `wanted`. The caller picks the
   * changes after this resolves, so changes that arrive during the wait can be included.
   */
  reserveForUsers(wanted: number): Promise<number> {
    return this.changeBudget.reserveForUsers(wanted, this.closeSignal);
  }

  /** Sends a transaction of user changes; `reserved` is the number of changes reserved for it. */
  userTxn(conditions: Condition[], changes: Change[], reserved: number): Promise<TxnOutcome> {
    this.refund(reserved - changes.length);
    return this.send('users', conditions, changes);
  }

  /** Like `reserveForUsers`, for changes of the controller's own background work. */
  reserve(wanted: number, signal: AbortSignal): Promise<number> {
    return this.changeBudget.reserve(wanted, signal);
  }

  /** Returns unused reserved changes to the budget; a negative number takes more from it. */
  refund(changes: number): void {
    this.changeBudget.refund(changes);
  }

  /** Sends a background transaction whose changes are already reserved. */
  reservedTxn(
    conditions: Condition[],
    changes: Change[],
    signal: AbortSignal,
  ): Promise<TxnOutcome> {
    return this.send('background', conditions, changes, signal);
  }

  private async txnFor(
    consumer: BudgetConsumer,
    conditions: Condition[],
    changes: Change[],
    signal?: AbortSignal,
  ): Promise<TxnOutcome> {
    await this.changeBudget.acquire(consumer, changes.length, signal ?? this.closeSignal);
    return this.send(consumer, conditions, changes, signal);
  }

  private async send(
    consumer: BudgetConsumer,
    conditions: Condition[],
    changes: Change[],
    signal?: AbortSignal,
  ): Promise<TxnOutcome> {
    this.changesSent += changes.length;
    try {
      const outcome = await this.callFor(consumer, signal, (api) =>
        api.txn(conditions, changes, signal),
      );
      this.changeBudget.recordServed();
      return outcome;
    } catch (error) {
      if (isRefusedForRate(error)) this.changeBudget.recordRefused();
      throw error;
    }
  }

  private async callFor<T>(
    consumer: BudgetConsumer,
    signal: AbortSignal | undefined,
    run: Request<T>,
  ): Promise<T> {
    await this.requestBudget.acquireFor(consumer, 1, signal ?? this.closeSignal);
    const sentAt = this.clock.now();
    this.requestsSent++;
    try {
      const result = await run(this.api);
      this.health.recordSuccess(sentAt);
      return result;
    } catch (error) {
      // A rate-limited or malformed request was answered, so the service is available.
      if (isRefusedForRate(error)) this.requestsRefused++;
      else if (!(error instanceof TxnMalformed) && !signal?.aborted) {
        this.health.recordFailure(sentAt);
      }
      throw error;
    }
  }
}
