/** Determines the outcome of a batch whose transaction failed on its conditions. */
import { JOBS_PREFIX, type StateClient, type Term } from '#store';
import type { Change } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { Log } from '../observability/log.js';
import type { RecordBatch } from './record-batch.js';
import { TermLostError } from './term-lost-error.js';

/** Dependencies of a `FailedBatchResolver`. */
export interface FailedBatchResolverOptions {
  client: StateClient;
  jobs: JobTable;
  term: Term;
  /** Called when an earlier attempt of a batch turns out to have been applied, before the callbacks of its changes. */
  onApplied: () => void;
  log: Log;
}

/** Finds out whether an earlier attempt of a failed transaction was applied, or another writer changed a record. */
export class FailedBatchResolver {
  constructor(private readonly options: FailedBatchResolverOptions) {}

  /**
   * Determines why the records under `failedKeys` differ from the versions that the batch expects, and calls the
   * callbacks of its changes: either an earlier attempt of the batch was applied, or a user cancelled a job in the
   * meantime. Rejects with TermLostError if neither explains the difference. Rejects with an error of the state
   * service if the records cannot be read; the batch may then be sent again.
   */
  async resolve(batch: RecordBatch, failedKeys: string[], signal: AbortSignal): Promise<void> {
    const { jobs, term, log } = this.options;
    // Reads the jobs before any callback runs, so that no task of a cancelled job starts even if the batch was applied.
    if (failedKeys.some(isJobKey)) {
      log.debug({ failed: failedKeys }, 'a job changed before its tasks or its end were recorded');
      await jobs.cache.sync();
    }
    const revision = await this.findAppliedRevision(batch, failedKeys, signal);
    if (revision !== null) {
      this.options.onApplied();
      for (const change of batch.changes) change.onDurable(revision);
      return;
    }
    const changedKey = failedKeys.find((key) => !isJobKey(key));
    if (changedKey !== undefined) {
      throw new TermLostError(
        term.term,
        'record-changed',
        `another writer has changed ${changedKey}`,
      );
    }
    for (const change of batch.changes) change.onNotApplied?.();
  }

  /**
   * Returns the revision at which an earlier attempt of the batch was applied, or null if none was. The revision is
   * the version of a record that the batch wrote; records that it deleted have no version.
   */
  private async findAppliedRevision(
    batch: RecordBatch,
    failedKeys: readonly string[],
    signal: AbortSignal,
  ): Promise<number | null> {
    const { client, term } = this.options;
    // Transactions are atomic: if the batch was applied, all of its records have changed.
    if (!batch.changes.every(({ key }) => failedKeys.includes(key))) return null;

    // eslint-disable-next-line @typescript-eslint/no-non-null-assertion -- deletions come with a put of the marker
    const firstPut = batch.changes.map(({ change }) => change).find(isPut)!;
    const entry = await client.callUrgent(signal, (api) => api.get(firstPut.put, signal));
    if (entry === null || !isEqualJson(entry.value, firstPut.value)) return null;
    if (entry.version > term.term) return entry.version;
    const detail = `${firstPut.put} already had this value before the term`;
    throw new TermLostError(term.term, 'record-older-than-term', detail);
  }
}

function isJobKey(key: string): boolean {
  return key.startsWith(JOBS_PREFIX);
}

function isPut(change: Change): change is Extract<Change, { put: string }> {
  return 'put' in change;
}

/** Compares JSON values, ignoring the order of object keys. */
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
