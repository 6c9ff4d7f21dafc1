/** Sends the transaction of a batch. */
import { HedgedRequests, shardKey, type StateClient, type Term } from '#store';
import type { Clock } from '#wire';
import type { BatchSettlement } from './batch-settlement.js';
import type { RecordBatch } from './record-batch.js';
import { TermLostError } from './term-lost-error.js';

/** Share of a heartbeat interval after which a transaction is sent again beside the first if no answer came. */
const RESEND_AFTER_SHARE = 1 / 4;
/** How often one transaction is sent before all copies are given up. */
const MAX_SENDS = 3;

/** What a `BatchSender` works on. */
export interface BatchSenderOptions {
  clock: Clock;
  client: StateClient;
  term: Term;
  settlement: BatchSettlement;
  heartbeatIntervalS: number;
}

/** Sends batches, each in copies until one is answered, and tells their changes the outcome. */
export class BatchSender {
  private readonly transactions: HedgedRequests;

  constructor(private readonly options: BatchSenderOptions) {
    this.transactions = new HedgedRequests({
      clock: options.clock,
      minDelayS: options.heartbeatIntervalS * RESEND_AFTER_SHARE,
      maxAttempts: MAX_SENDS,
    });
  }

  /**
   * Resolves once the outcome is known and told. The first copy uses changes of the budget that are reserved for
   * it if `isReserved`. Rejects with TermBroken if the term must end, with TxnMalformed if the state service
   * finds the batch malformed, and with another of its errors if the outcome is unknown.
   */
  async send(batch: RecordBatch, isReserved: boolean, signal: AbortSignal): Promise<void> {
    const { client, settlement, term } = this.options;
    const changes = batch.changes.map(({ change }) => change);
    const conditions = batch.allConditions();
    let useReserved = isReserved;
    const request = (attempt: AbortSignal) => {
      const txn = useReserved
        ? client.reservedTxn(conditions, changes, attempt)
        : client.txnInBackground(conditions, changes, attempt);
      useReserved = false;
      return txn;
    };
    const outcome = await this.transactions.run(request, signal);
    if (outcome.ok) {
      for (const change of batch.changes) change.onDurable(outcome.revision);
      return;
    }
    if (!('failed' in outcome)) {
      throw new TermLostError(term.term, 'election-lease-gone', 'its election lease has ended');
    }
    const leaderKey = shardKey(term.shard);
    if (outcome.failed.includes(leaderKey)) {
      throw new TermLostError(term.term, 'leader-key-changed', `${leaderKey} has changed`);
    }
    await settlement.settle(batch, outcome.failed, signal);
  }
}
