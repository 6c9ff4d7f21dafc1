/** Makes the changes of a leader's fleet state durable. */
import type { FleetState } from '#core';
import type { StateClient, Term } from '#store';
import { type Runtime, sleep, TxnMalformed } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { Log } from '../observability/log.js';
import { BatchCollector } from './batch-collector.js';
import { BatchSender } from './batch-sender.js';
import { FailedBatchResolver } from './batch-settlement.js';
import { JobRecords } from './job-records.js';
import { MachineRecords } from './machine-records.js';
import type { RecordBatch } from './record-batch.js';
import { RemovalMarker } from './removal-marker.js';
import { TermLostError } from './term-lost-error.js';

/** Changes that a transaction may have in any case: a deletion and the removal marker. */
const MIN_TXN_CHANGES = 2;
/** After all copies of a transaction have failed, before the next: at least so long, and up to so much longer. */
const RETRY_MS = 100;
const RETRY_JITTER_MS = 200;

/** What a `Recorder` works on. */
export interface RecorderOptions {
  runtime: Runtime;
  client: StateClient;
  fleet: FleetState;
  jobs: JobTable;
  term: Term;
  heartbeatIntervalS: number;
  log: Log;
}

/**
 * Records the fleet state's changes, one transaction at a time, each on the condition of the shard's
 * term and of every record's version. A transaction whose outcome is unknown is sent again as it
 * was until the answer is definite: since it changes its own conditions, it is applied once at the most.
 */
export class Recorder {
  readonly machineRecords: MachineRecords;
  readonly jobRecords: JobRecords;
  readonly removalMarker: RemovalMarker;
  private readonly collector: BatchCollector;
  private readonly sender: BatchSender;

  constructor(private readonly options: RecorderOptions) {
    const { runtime, client, fleet, jobs, term, heartbeatIntervalS, log } = options;
    const { clock } = runtime;
    const { limits } = client;
    const machineRecords = new MachineRecords({ clock, fleet, jobs, limits });
    const jobRecords = new JobRecords({ fleet, jobs, limits });
    const removalMarker = new RemovalMarker(term);
    this.machineRecords = machineRecords;
    this.jobRecords = jobRecords;
    this.removalMarker = removalMarker;
    const records = { machineRecords, jobRecords, removalMarker };
    this.collector = new BatchCollector({ fleet, limits, term, ...records });
    const failedBatchResolver = new FailedBatchResolver({ client, jobs, term, log });
    this.sender = new BatchSender({ clock, client, term, failedBatchResolver, heartbeatIntervalS });
  }

  /** Whether `flush` has something to write now. */
  get pending(): boolean {
    const { hasUrgentChanges, hasDeferredChanges } = this.collector;
    return hasUrgentChanges || (hasDeferredChanges && this.options.client.hasSpareChanges);
  }

  /**
   * Writes as much as one transaction takes, and resolves once it is durable or is to be collected again.
   * Rejects with TermBroken if the term must end, and with any error if the signal aborts.
   */
  async flush(signal: AbortSignal): Promise<void> {
    const { client, runtime, log } = this.options;
    // The turn first, then what is written: what changes meanwhile needs no further transaction.
    const includeDeferred = client.hasSpareChanges;
    const wantedCount = this.collector.countWantedChanges(includeDeferred);
    const reservedCount = await client.reserve(wantedCount, signal);
    const batch = this.collector.collect(Math.max(MIN_TXN_CHANGES, reservedCount), includeDeferred);
    client.refund(reservedCount - batch.changes.length);
    if (batch.changes.length === 0) return;
    let hasReservation = true;
    for (;;) {
      try {
        await this.sender.send(batch, hasReservation, signal);
        return;
      } catch (err) {
        if (err instanceof TermLostError || signal.aborted) throw err;
        if (err instanceof TxnMalformed) throw this.createMalformedError(batch, err);
        log.debug({ err: String(err) }, 'state transaction unanswered, will be sent again');
        hasReservation = false;
        await sleep(runtime.clock, RETRY_MS + runtime.random() * RETRY_JITTER_MS, signal);
      }
    }
  }

  /** A repetition would fare the same, so the term can't go on. */
  private createMalformedError(batch: RecordBatch, cause: TxnMalformed): TermLostError {
    const { term, log } = this.options;
    const keys = batch.changes.map(({ key }) => key);
    log.error(
      { err: cause.message, keys },
      'state transaction refused as malformed, leader steps down',
    );
    return new TermLostError(term.term, 'transaction-malformed', cause.message, { cause });
  }
}
