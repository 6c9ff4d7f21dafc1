/** Sends the transaction of a batch. */
import { HedgedRequests, shardKey, type StateClient, type Term } from '#store';
import type { Clock } from '#wire';
import type { FailedBatchResolver } from './batch-settlement.js';
import type { RecordBatch } from './record-batch.js';
import { TermLostError } from './term-lost-error.js';

/** Share of a heartbeat interval after which a transaction is sent again beside the first if no answer came. */
const RESEND_DELAY_INTERVALS = 1 / 4;
/** How often one transaction is sent before all copies are given up. */
const MAX_ATTEMPTS = 3;

/** What a `BatchSender` works on. */
export interface BatchSenderOptions {
  clock: Clock;
  client: StateClient;
  term: Term;
  failedBatchResolver: FailedBatchResolver;
  heartbeatIntervalS: number;
}

/** Sends batches, each in copies until one is answered, and tells their changes the outcome. */
export class BatchSender {
  private readonly hedgedRequests: HedgedRequests;

  constructor(private readonly options: BatchSenderOptions) {
    this.hedgedRequests = new HedgedRequests({
      clock: options.clock,
      minDelayS: options.heartbeatIntervalS * RESEND_DELAY_INTERVALS,
      maxAttempts: MAX_ATTEMPTS,
    });
  }

  /**
   * Resolves once the outcome is known and told. The first copy uses changes of the budget that are reserved for
   * it if `hasReservation`. Rejects with TermBroken if the term must end, with TxnMalformed if the state service
   * finds the batch malformed, and with another of its errors if the outcome is unknown.
   */
  async send(batch: RecordBatch, hasReservation: boolean, signal: AbortSignal): Promise<void> {
    const { client, failedBatchResolver, term } = this.options;
    const changes = batch.changes.map(({ change }) => change);
    const conditions = batch.allConditions();
    let useReserved = hasReservation;
    const request = (attempt: AbortSignal) => {
      const txn = useReserved
        ? client.reservedTxn(conditions, changes, attempt)
        : client.txnInBackground(conditions, changes, attempt);
      useReserved = false;
      return txn;
    };
    const outcome = await this.hedgedRequests.run(request, signal);
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
    await failedBatchResolver.resolve(batch, outcome.failed, signal);
  }
}
