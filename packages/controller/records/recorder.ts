import type { FleetState } from '#core';
import { Hedge, JOBS, shardKey, StateClient, Term } from '#store';
import { Runtime, sleep, TxnMalformed } from '#wire';
import { JobRecords } from './job-records.js';
import type { JobTable } from '../jobs/job-table.js';
import type { Log } from '../observability/log.js';
import { MachineRecords } from './machine-records.js';
import { RecordBatch } from './record-batch.js';
import { RemovalMarker } from './removal-marker.js';

/** Share of a transaction that is kept for jobs, so that no number of machines holds up their ends. */
const JOB_SHARE = 1 / 3;
/** Share of a transaction that removes what is left of jobs that are over. */
const TIDY_SHARE = 1 / 4;
/** Changes that a transaction may have in any case: fewer than two it never has to. */
const LEAST_CHANGES = 2;
/** Share of a report period after which a transaction is sent again if no answer came, and how often at once. */
const RESEND_AFTER = 1 / 4;
const MAX_SENDS = 3;
/** After all sends have failed, before the next: at least so long, and up to so much longer. */
const RETRY_MS = 100;
const RETRY_SPREAD_MS = 200;

/** Our own records are not as this term left them: the term must not be used further. */
export class TermBroken extends Error {}

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
 * Makes the fleet state's changes durable, one transaction at a time, each on the condition of the part's
 * term and of every record's version. A transaction whose outcome is unknown is sent again as it
 * was until the answer is definite: since it changes its own conditions, it is applied once at the most.
 */
export class Recorder {
  readonly machineRecords: MachineRecords;
  readonly jobRecords: JobRecords;
  readonly removals: RemovalMarker;
  private readonly transactions: Hedge;
  private readonly client: StateClient;
  private readonly fleet: FleetState;
  private readonly jobs: JobTable;
  private readonly term: Term;
  private readonly log: Log;

  constructor(private readonly options: RecorderOptions) {
    ({ client: this.client, fleet: this.fleet, jobs: this.jobs } = options);
    ({ term: this.term, log: this.log } = options);
    const { clock } = options.runtime;
    const recorded = { clock, fleet: this.fleet, jobs: this.jobs, limits: this.client.limits };
    this.machineRecords = new MachineRecords(recorded);
    this.jobRecords = new JobRecords(recorded);
    this.removals = new RemovalMarker(this.term);
    this.transactions = new Hedge({
      clock,
      leastDelayS: options.heartbeatIntervalS * RESEND_AFTER,
      maxAttempts: MAX_SENDS,
    });
  }

  get pending(): boolean {
    const { unrecorded } = this.fleet;
    const anyDeferred = unrecorded.machines.size > 0 || this.jobRecords.obsoleteCount > 0;
    return unrecorded.anyUrgent || (anyDeferred && this.client.hasSpareChanges);
  }

  /** Writes as much as one transaction takes. */
  async flush(signal: AbortSignal): Promise<void> {
    // The turn first, then what is written: what changes meanwhile needs no further transaction.
    const withDeferred = this.client.hasSpareChanges;
    const reserved = await this.client.reserve(this.wantedChanges(withDeferred), signal);
    const batch = this.collect(Math.max(LEAST_CHANGES, reserved), withDeferred);
    this.client.refund(reserved - batch.changes.length);
    if (batch.changes.length === 0) return;
    let isReserved = true;
    for (;;) {
      try {
        await this.send(batch, isReserved, signal);
        return;
      } catch (err) {
        if (err instanceof TermBroken || signal.aborted) throw err;
        if (err instanceof TxnMalformed) throw this.malformed(batch, err);
        isReserved = false;
        const { runtime } = this.options;
        await sleep(runtime.clock, RETRY_MS + runtime.random() * RETRY_SPREAD_MS, signal);
      }
    }
  }

  /** A repetition would fare the same, so the term can't go on. */
  private malformed(batch: RecordBatch, err: TxnMalformed): TermBroken {
    const keys = batch.changes.map(({ key }) => key);
    this.log.error({ err: err.message, keys }, 'transaction refused');
    return new TermBroken(err.message);
  }

  /** How many changes the next transaction is to have, if it may have as many. */
  private wantedChanges(withDeferred: boolean): number {
    const { urgentMachines, machines, jobs } = this.fleet.unrecorded;
    if (!withDeferred) return urgentMachines.size + jobs.size;
    return machines.size + jobs.size + this.jobRecords.obsoleteCount + 1;
  }

  private async send(batch: RecordBatch, isReserved: boolean, signal: AbortSignal): Promise<void> {
    const changes = batch.changes.map(({ change }) => change);
    const conditions = batch.allConditions();
    let useReserved = isReserved;
    const request = (attempt: AbortSignal) => {
      const txn = useReserved
        ? this.client.reservedTxn(conditions, changes, attempt)
        : this.client.txn(conditions, changes, false, attempt);
      useReserved = false;
      return txn;
    };
    const out = await this.transactions.run(request, signal);
    if (out.ok) {
      for (const change of batch.changes) change.durable(out.revision);
      return;
    }
    if (!('failed' in out)) throw new TermBroken('no such grant');
    if (out.failed.includes(shardKey(this.term.shard))) throw new TermBroken('term is over');
    await this.settle(batch, out.failed, signal);
  }

  /** A record differs: an earlier send of the same was applied, or a user's abort came between. */
  private async settle(batch: RecordBatch, failed: string[], signal: AbortSignal): Promise<void> {
    // First of all, so that nothing of a cancelled job is begun, whatever else was applied.
    if (failed.some((key) => key.startsWith(JOBS))) {
      this.log.debug({ failed }, 'a job changed before its tasks or its end were recorded');
      await this.jobs.cache.sync();
    }
    const revision = await this.appliedAt(batch, failed, signal);
    if (revision !== null) {
      for (const change of batch.changes) change.durable(revision);
      return;
    }
    const changed = failed.find((key) => !key.startsWith(JOBS));
    if (changed) throw new TermBroken(`record ${changed} changed under this term`);
    for (const change of batch.changes) change.again();
  }

  /**
   * The revision at which an earlier send of the batch was applied, or null. It is read from a record that
   * the batch put: one that it deleted has none.
   */
  private async appliedAt(
    batch: RecordBatch,
    failed: readonly string[],
    signal: AbortSignal,
  ): Promise<number | null> {
    // All or nothing: what was applied has changed every record.
    if (!batch.changes.every(({ key }) => failed.includes(key))) return null;
    // Beside deletions the removal marker is put, so there is one.
    const put = batch.changes.map(({ change }) => change).find((change) => 'put' in change)!;
    const entry = await this.client.call(true, signal, (api) => api.get(put.put, signal));
    if (entry === null || !same(entry.value, put.value)) return null;
    if (entry.version > this.term.term) return entry.version;
    throw new TermBroken(`record ${put.put} is older than the term`);
  }

  /**
   * First what tasks and users wait for: starts by rank, and ends of jobs. That a task has gone from a machine
   * is recorded with the next start there, or while changes are to spare: until then a successor finds the
   * task absent as soon as the machine reports to it.
   */
  private collect(maxChanges: number, withDeferred: boolean): RecordBatch {
    const batch = new RecordBatch(this.term, this.removals, this.client.limits, maxChanges);
    this.addJobs(batch, Math.ceil(maxChanges * JOB_SHARE));
    this.addMachines(batch, this.urgentMachines());
    this.addJobs(batch, maxChanges);
    if (withDeferred) {
      this.addMachines(batch, [...this.fleet.unrecorded.machines]);
      this.addRemovals(batch);
    }
    return batch;
  }

  /** Those whose records starts wait for, the most urgent first. */
  private urgentMachines(): string[] {
    const byRank = [...this.fleet.unrecorded.urgentMachines];
    return byRank.sort(([, one], [, other]) => one - other).map(([name]) => name);
  }

  private addMachines(batch: RecordBatch, names: string[]): void {
    for (const name of names) {
      const change = this.machineRecords.changeOf(name);
      if (change && !batch.add(change)) return;
      this.fleet.unrecorded.machineCollected(name);
    }
  }

  private addRemovals(batch: RecordBatch): void {
    const most = batch.changes.length + Math.ceil(batch.maxChanges * TIDY_SHARE);
    for (const removal of this.jobRecords.removals()) {
      if (!batch.add(removal, Math.min(most, batch.maxChanges))) return;
    }
  }

  private addJobs(batch: RecordBatch, maxChanges: number): void {
    const { jobs } = this.fleet.unrecorded;
    for (const id of [...jobs]) {
      const job = this.fleet.jobs.get(id);
      const changes = job ? this.jobRecords.changesOf(job) : [];
      const isWithinLimit = changes.every((change) => batch.add(change, maxChanges));
      jobs.delete(id);
      if (isWithinLimit) continue;
      // Its turn comes after that of the others.
      jobs.add(id);
      return;
    }
  }
}

/** Key order does not matter. */
function same(a: unknown, b: unknown): boolean {
  return canonical(a) === canonical(b);
}

function canonical(value: unknown): string {
  return JSON.stringify(value, (_key, shard: unknown) =>
    shard !== null && typeof shard === 'object' && !Array.isArray(shard)
      ? Object.fromEntries(Object.entries(shard).sort(([x], [y]) => (x < y ? -1 : 1)))
      : shard,
  );
}
