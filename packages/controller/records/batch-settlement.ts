/** What became of a batch whose transaction failed on its conditions. */
import { JOBS, type StateClient, type Term } from '#store';
import type { Change } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { Log } from '../observability/log.js';
import type { RecordBatch } from './record-batch.js';
import { TermLostError } from './term-lost-error.js';

/** What a `FailedBatchResolver` works on. */
export interface FailedBatchResolverOptions {
  client: StateClient;
  jobs: JobTable;
  term: Term;
  log: Log;
}

/** Finds out whether an earlier copy of a failed transaction was applied, or somebody else changed a record. */
export class FailedBatchResolver {
  constructor(private readonly options: FailedBatchResolverOptions) {}

  /**
   * Settles a batch of which the records with these keys differ: an earlier copy of it was applied, or a user's
   * cancellation came between. Rejects with TermBroken if neither explains it, and with an error of the state
   * service if that can't tell; the batch may then be sent again.
   */
  async resolve(batch: RecordBatch, failedKeys: string[], signal: AbortSignal): Promise<void> {
    const { jobs, term, log } = this.options;
    // First of all, so that nothing of a cancelled job is begun, whatever else was applied.
    if (failedKeys.some(isJobKey)) {
      log.debug({ failed: failedKeys }, 'a job changed before its tasks or its end were recorded');
      await jobs.cache.sync();
    }
    const revision = await this.findAppliedRevision(batch, failedKeys, signal);
    if (revision !== null) {
      for (const change of batch.changes) change.onDurable(revision);
      return;
    }
    const changedKey = failedKeys.find((key) => !isJobKey(key));
    if (changedKey !== undefined) {
      throw new TermLostError(
        term.term,
        'record-changed',
        `somebody else has changed ${changedKey}`,
      );
    }
    for (const change of batch.changes) change.onNotApplied?.();
  }

  /**
   * The revision at which an earlier copy of the batch was applied, or null. It is read from a record that
   * the batch put: one that it deleted has none.
   */
  private async findAppliedRevision(
    batch: RecordBatch,
    failedKeys: readonly string[],
    signal: AbortSignal,
  ): Promise<number | null> {
    const { client, term } = this.options;
    // All or nothing: what was applied has changed every record.
    if (!batch.changes.every(({ key }) => failedKeys.includes(key))) return null;

    // eslint-disable-next-line @typescript-eslint/no-non-null-assertion -- beside deletions the marker is put
    const firstPut = batch.changes.map(({ change }) => change).find(isPut)!;
    const entry = await client.callUrgent(signal, (api) => api.get(firstPut.put, signal));
    if (entry === null || !isEqualJson(entry.value, firstPut.value)) return null;
    if (entry.version > term.term) return entry.version;
    const detail = `${firstPut.put} has had its value since before the term`;
    throw new TermLostError(term.term, 'record-older-than-term', detail);
  }
}

function isJobKey(key: string): boolean {
  return key.startsWith(JOBS);
}

function isPut(change: Change): change is Extract<Change, { put: string }> {
  return 'put' in change;
}

/** Key order does not matter. */
function isEqualJson(one: unknown, other: unknown): boolean {
  return canonicalJson(one) === canonicalJson(other);
}

function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, nested: unknown) =>
    nested !== null && typeof nested === 'object' && !Array.isArray(nested)
      ? Object.fromEntries(Object.entries(nested).sort(([x], [y]) => (x < y ? -1 : 1)))
      : nested,
  );
}
