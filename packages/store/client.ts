import { setMaxListeners } from 'node:events';
import { Change, Clock, Condition, StateApi, StateRefused, TxnMalformed, TxnOutcome } from '#wire';
import { Budget } from './budget.js';

export interface StateLimits {
  rps: number;
  writeRps: number;
  valueBytes: number;
  txnOps: number;
}

/**
 * The state service within this controller's part of the rate limits, and how it has been. Times are
 * steady seconds of the clock.
 */
export class StateClient {
  private readonly reads: Budget;
  private readonly writes: Budget;
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

  /** The part of all changes that this controller may make. */
  shareWrites(share: number): void {
    this.writes.change(this.limits.writeRps * share);
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
    await this.reads.take(1, urgent, signal ?? this.closed);
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
    await this.writes.take(changes.length, urgent, signal ?? this.closed);
    this.changes += changes.length;
    return this.call(urgent, signal, (api) => api.txn(conditions, changes, signal));
  }

  /** The last thing known is that the service did not serve us. */
  get failing(): boolean {
    return this.lastFailAt > this.lastOkAt;
  }
}
