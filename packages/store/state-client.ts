import { setMaxListeners } from 'node:events';
import { Change, Clock, Condition, StateApi, StateRefused, TxnMalformed, TxnOutcome } from '#wire';
import { Budget, type BudgetConsumer } from './budget.js';
import { type RateBounds, SharedRate } from './shared-rate.js';

/** Seconds' worth of what users can count on that one transaction of theirs waits for at the most. */
const USERS_TURN_S = 1 / 2;

export interface StateLimits {
  rps: number;
  writeRps: number;
  valueBytes: number;
  txnOps: number;
  /**
   * Value size by which older versions divide what a job's tasks have done (ProgressLayout); `valueBytes` unless
   * given.
   */
  layoutBytes?: number;
}

/**
 * The state service within this controller's part of the rate limits, and how it has been. Times are
 * steady seconds of the clock.
 */
export class StateClient {
  private readonly reads: Budget;
  private readonly writes: Budget;
  private readonly writeRate: SharedRate;
  private readonly closing = new AbortController();
  /** When the last request that succeeded was sent. */
  lastOkAt = -Infinity;
  /** When the last request that was refused or unanswered was sent. */
  lastFailAt = -Infinity;
  /** When the first request that failed since the last success was sent. */
  failingSince = Infinity;
  /** Since the start: requests sent, those refused for the rate, and puts and deletes sent. */
  requests = 0;
  refused = 0;
  changes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly api: StateApi,
    readonly limits: StateLimits,
    share: number,
  ) {
    this.reads = new Budget(clock, limits.rps * share);
    this.writes = new Budget(clock, limits.writeRps * share);
    this.writeRate = new SharedRate(clock, this.writes, limits.writeRps * share);
    // Everyone who waits for a part of a budget may listen to it.
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

  /** The least and the largest part of all changes that this controller may make. */
  shareWrites({ least, most }: RateBounds): void {
    const { writeRps } = this.limits;
    this.writeRate.bound({ least: least * writeRps, most: most * writeRps });
  }

  /** Seconds until so many changes that users ask for are sent, now and if the other controllers take all they may. */
  usersWaitS(changes: number): { expected: number; longest: number } {
    const expected = Math.max(0, changes - this.writes.left()) / this.usersChangesPerS;
    return { expected, longest: expected / this.writeRate.leastShare };
  }

  /** Changes a second that users can count on. */
  get usersChangesPerS(): number {
    return this.writes.usersPerSecond();
  }

  /** What may be used at once of this controller's parts of the rates. */
  left(): Record<string, number> {
    return { requests: this.reads.left(), changes: this.writes.left() };
  }

  /** Changes that a transaction may hold so that it needs not wait long for the budget; at least one. */
  get txnChanges(): number {
    return Math.max(1, Math.min(this.limits.txnOps, Math.floor(this.writes.soon())));
  }

  /** Changes that may as well be made later can be made now. */
  get hasSpareChanges(): boolean {
    return this.writes.ample;
  }

  /** Runs one request and notes whether the service served it; urgent ones go ahead of the line. */
  async call<T>(
    urgent: boolean,
    signal: AbortSignal | undefined,
    run: (api: StateApi) => Promise<T>,
  ): Promise<T> {
    return this.callFor(urgent ? 'urgent' : 'duty', signal, run);
  }

  private async callFor<T>(
    consumer: BudgetConsumer,
    signal: AbortSignal | undefined,
    run: (api: StateApi) => Promise<T>,
  ): Promise<T> {
    await this.reads.acquireFor(consumer, 1, signal ?? this.closed);
    const sentAt = this.clock.now();
    this.requests++;
    try {
      const result = await run(this.api);
      this.lastOkAt = Math.max(this.lastOkAt, sentAt);
      if (this.lastOkAt > this.lastFailAt) this.failingSince = Infinity;
      return result;
    } catch (err) {
      // A 429 shows that the service is there, and so does what it finds malformed.
      if (err instanceof StateRefused && err.status === 429) this.refused++;
      else if (!(err instanceof TxnMalformed) && !signal?.aborted) {
        this.lastFailAt = Math.max(this.lastFailAt, sentAt);
        if (this.failing && this.failingSince === Infinity) this.failingSince = sentAt;
      }
      throw err;
    }
  }

  async txn(
    conditions: Condition[],
    changes: Change[],
    urgent: boolean,
    signal?: AbortSignal,
  ): Promise<TxnOutcome> {
    return this.txnFor(urgent ? 'urgent' : 'duty', conditions, changes, signal);
  }

  /**
   * Waits for the turn of what users ask for, and resolves with how many changes may be sent now, up to so
   * many as are wanted: what comes while it waits can still be among them.
   */
  async reserveForUsers(wanted: number): Promise<number> {
    const soon = Math.floor(Math.max(this.writes.left(), this.usersChangesPerS * USERS_TURN_S));
    const units = Math.max(1, Math.min(wanted, this.limits.txnOps, soon));
    await this.writes.acquireFor('users', units, this.closed);
    return units;
  }

  /** A transaction with what users ask for, of which so many changes are reserved. */
  userTxn(conditions: Condition[], changes: Change[], reserved: number): Promise<TxnOutcome> {
    this.refund(reserved - changes.length);
    return this.send('users', conditions, changes);
  }

  /** The same for the controller's own changes. */
  async reserve(wanted: number, signal: AbortSignal): Promise<number> {
    const units = Math.max(1, Math.min(wanted, this.txnChanges));
    await this.writes.acquireFor('duty', units, signal);
    return units;
  }

  /** Changes that were reserved and are not needed; fewer than none if more are. */
  refund(changes: number): void {
    this.writes.refund(changes);
  }

  /** A transaction whose changes are reserved. */
  reservedTxn(
    conditions: Condition[],
    changes: Change[],
    signal: AbortSignal,
  ): Promise<TxnOutcome> {
    return this.send('duty', conditions, changes, signal);
  }

  private async txnFor(
    consumer: BudgetConsumer,
    conditions: Condition[],
    changes: Change[],
    signal?: AbortSignal,
  ): Promise<TxnOutcome> {
    await this.writes.acquireFor(consumer, changes.length, signal ?? this.closed);
    return this.send(consumer, conditions, changes, signal);
  }

  private async send(
    consumer: BudgetConsumer,
    conditions: Condition[],
    changes: Change[],
    signal?: AbortSignal,
  ): Promise<TxnOutcome> {
    this.changes += changes.length;
    try {
      const out = await this.callFor(consumer, signal, (api) =>
        api.txn(conditions, changes, signal),
      );
      this.writeRate.served();
      return out;
    } catch (err) {
      if (err instanceof StateRefused && err.status === 429) this.writeRate.refused();
      throw err;
    }
  }

  /** The last thing known is that the service did not serve us. */
  get failing(): boolean {
    return this.lastFailAt > this.lastOkAt;
  }
}
