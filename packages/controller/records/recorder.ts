/** Makes the changes of a leader's fleet state durable. */
import type { FleetState } from '#core';
import type { StateClient, Term } from '#store';
import { type Runtime, sleep, TxnMalformed } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { Log } from '../observability/log.js';
import { BatchCollector } from './batch-collector.js';
import { BatchSender } from './batch-sender.js';
import { FailedBatchResolver } from './failed-batch-resolver.js';
import { JobRecords } from './job-records.js';
import { MachineRecords } from './machine-records.js';
import type { RecordBatch } from './record-batch.js';
import { RemovalMarker } from './removal-marker.js';
import { TermLostError } from './term-lost-error.js';

/** Smallest limit of changes per transaction: a deletion needs a change of the removal marker beside it. */
const MIN_TXN_CHANGES = 2;
/** Shortest delay before a transaction is sent again after all attempts have failed. */
const RETRY_MS = 100;
/** Largest random addition to `RETRY_MS`. */
const RETRY_JITTER_MS = 200;

/** Dependencies and settings of a `Recorder`. */
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
 * Records the changes of the fleet state, one transaction at a time. Each transaction is conditional on the shard's term
 * and on the version of every record that it changes. A transaction with an unknown outcome is sent again unchanged
 * until the answer is definite. It is applied at most once, because applying it invalidates its own conditions.
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
    const failedBatchResolver = new FailedBatchResolver({
      client,
      jobs,
      term,
      onApplied: () => {
        fleet.fencing.unansweredTransactionWritten();
      },
      log,
    });
    this.sender = new BatchSender({
      clock,
      client,
      term,
      failedBatchResolver,
      heartbeatIntervalS,
      onRevision: (revision) => {
        fleet.fencing.revisionWritten(revision);
      },
    });
  }

  /** Whether there are changes that `flush` would write now. */
  get hasPendingChanges(): boolean {
    const { hasUrgentChanges, hasDeferredChanges } = this.collector;
    return hasUrgentChanges || (hasDeferredChanges && this.options.client.hasSpareChanges);
  }

  /**
   * Writes the changes that fit into one transaction, and resolves once they are durable or are marked as unrecorded
   * again. Rejects with TermLostError if the term must end, and with any error if the signal aborts.
   */
  async flush(signal: AbortSignal): Promise<void> {
    const { client, runtime, log } = this.options;
    // Reserves the budget before the changes are collected, so that changes made during the wait are included.
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

  /** The error that ends the term: a malformed transaction would be refused again if it was repeated. */
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
