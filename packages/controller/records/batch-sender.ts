/** Sends a batch of record changes as one transaction. */
import { HedgedRequests, shardKey, type StateClient, type Term } from '#store';
import type { Clock } from '#wire';
import type { FailedBatchResolver } from './failed-batch-resolver.js';
import type { RecordBatch } from './record-batch.js';
import { TermLostError } from './term-lost-error.js';

/** Shortest delay before an unanswered transaction is sent again while earlier attempts are open; heartbeat intervals. */
const RESEND_DELAY_INTERVALS = 1 / 4;
/** Attempts per transaction before all of them are abandoned. */
const MAX_ATTEMPTS = 3;

/** Dependencies of a `BatchSender`. */
export interface BatchSenderOptions {
  clock: Clock;
  client: StateClient;
  term: Term;
  failedBatchResolver: FailedBatchResolver;
  heartbeatIntervalS: number;
  /** Called with the revision of each transaction that was carried out, before the callbacks of its changes. */
  onRevision: (revision: number) => void;
}

/** Sends each batch in hedged attempts until one is answered, and calls the callbacks of its changes. */
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
   * Resolves once the outcome is known and the callbacks of the changes were called. If `hasReservation` is true, the
   * first attempt uses changes that were reserved in the budget. Rejects with TermLostError if the term must end, with
   * TxnMalformed if the state service refuses the batch as malformed, and with another error of the state service if
   * the outcome is unknown.
   */
  async send(batch: RecordBatch, hasReservation: boolean, signal: AbortSignal): Promise<void> {
    const { client, failedBatchResolver, term, onRevision } = this.options;
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
      onRevision(outcome.revision);
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
