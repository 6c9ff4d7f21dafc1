/** Requests and transactions to the state service within this controller's share of the rates. */
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

/** One request, made with the service's interface. */
type Request<T> = (api: StateApi) => Promise<T>;

/**
 * The state service within this controller's share of the rate limits, and whether it serves. Each
 * request waits for the budget first. It rejects with NoAnswer if its outcome is unknown, with
 * StateRefused if the service did not carry it out, with TxnMalformed if no repetition can help, and
 * with the signal's reason if that aborts while it waits for the budget.
 */
export class StateClient {
  private readonly requestBudget: Budget;
  private readonly changeBudget: ChangeBudget;
  private readonly health = new ServiceHealth();
  private readonly closing = new AbortController();
  /** Requests sent since the start. */
  requestsSent = 0;
  /** Requests refused for the rate since the start. */
  requestsRefused = 0;
  /** Puts and deletes sent since the start. */
  changesSent = 0;

  /** `share` is the share of the rates that this controller may use, above 0 and at most 1. */
  constructor(
    private readonly clock: Clock,
    private readonly api: StateApi,
    readonly limits: StateLimits,
    share: number,
  ) {
    this.requestBudget = new Budget(clock, limits.rps * share);
    this.changeBudget = new ChangeBudget(clock, limits, share);
    // Everyone who waits for a budget may listen to it.
    setMaxListeners(0, this.closing.signal);
  }

  /** Aborts once this client is closed. */
  get closed(): AbortSignal {
    return this.closing.signal;
  }

  /** Ends all requests, also later ones, with an error. */
  close(): void {
    this.closing.abort();
    this.api.close();
  }

  /** When the last request that succeeded was sent; steady seconds. */
  get lastOkAt(): number {
    return this.health.lastSuccessAt;
  }

  /** When the last request that was refused or unanswered was sent; steady seconds. */
  get lastFailAt(): number {
    return this.health.lastFailureAt;
  }

  /** When the first request that failed since the last success was sent; steady seconds. */
  get failingSince(): number {
    return this.health.failingSince;
  }

  /** The newest request whose outcome is known was not served. */
  get isFailing(): boolean {
    return this.health.isFailing;
  }

  /** Sets the least and the largest share of all changes that this controller may make. */
  setChangeShares(shares: RateBounds): void {
    this.changeBudget.setShares(shares);
  }

  /** Seconds until so many changes that users ask for are sent, now and if the other controllers use all they may. */
  usersWaitS(changes: number): { expected: number; longest: number } {
    return this.changeBudget.userWaitS(changes);
  }

  /** Changes a second that users can count on. */
  get usersChangesPerS(): number {
    return this.changeBudget.userChangesPerS;
  }

  /** What may be used at once of this controller's shares of the rates. */
  available(): { requests: number; changes: number } {
    return { requests: this.requestBudget.available(), changes: this.changeBudget.available };
  }

  /** Changes that a transaction may hold so that it needs not wait long for the budget; at least one. */
  get maxTxnChanges(): number {
    return this.changeBudget.maxTxnChanges;
  }

  /** Changes that may as well be made later can be made now. */
  get hasSpareChanges(): boolean {
    return this.changeBudget.hasSpareChanges;
  }

  /** Makes one of the few small requests that hold up everybody else; it goes ahead of all others. */
  async callUrgent<T>(signal: AbortSignal | undefined, run: Request<T>): Promise<T> {
    return this.callFor('urgent', signal, run);
  }

  /** Makes one request of the controller itself, in the order in which they come. */
  async callInBackground<T>(signal: AbortSignal | undefined, run: Request<T>): Promise<T> {
    return this.callFor('background', signal, run);
  }

  /** Sends a transaction that goes ahead of all others. */
  async txnUrgent(
    conditions: Condition[],
    changes: Change[],
    signal?: AbortSignal,
  ): Promise<TxnOutcome> {
    return this.txnFor('urgent', conditions, changes, signal);
  }

  /** Sends a transaction of the controller itself, in the order in which they come. */
  async txnInBackground(
    conditions: Condition[],
    changes: Change[],
    signal?: AbortSignal,
  ): Promise<TxnOutcome> {
    return this.txnFor('background', conditions, changes, signal);
  }

  /**
   * Waits for the turn of what users ask for, and resolves with how many changes may be sent now, up to so
   * many as are wanted: what comes while it waits can still be among them.
   */
  reserveForUsers(wanted: number): Promise<number> {
    return this.changeBudget.reserveForUsers(wanted, this.closed);
  }

  /** Sends a transaction with what users ask for, of which so many changes are reserved. */
  userTxn(conditions: Condition[], changes: Change[], reserved: number): Promise<TxnOutcome> {
    this.refund(reserved - changes.length);
    return this.send('users', conditions, changes);
  }

  /** Like `reserveForUsers`, for the controller's own changes. */
  reserve(wanted: number, signal: AbortSignal): Promise<number> {
    return this.changeBudget.reserve(wanted, signal);
  }

  /** Gives back changes that were reserved and are not needed; a negative number takes more. */
  refund(changes: number): void {
    this.changeBudget.refund(changes);
  }

  /** Sends a transaction whose changes are reserved. */
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
    await this.changeBudget.acquire(consumer, changes.length, signal ?? this.closed);
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
    await this.requestBudget.acquireFor(consumer, 1, signal ?? this.closed);
    const sentAt = this.clock.now();
    this.requestsSent++;
    try {
      const result = await run(this.api);
      this.health.recordSuccess(sentAt);
      return result;
    } catch (error) {
      // A refusal for the rate shows that the service is there, and so does what it finds malformed.
      if (isRefusedForRate(error)) this.requestsRefused++;
      else if (!(error instanceof TxnMalformed) && !signal?.aborted) {
        this.health.recordFailure(sentAt);
      }
      throw error;
    }
  }
}
