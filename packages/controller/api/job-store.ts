/** Reads and writes job records on behalf of users' requests. */
import { type GroupCommit, jobKey, type StateClient } from '#store';
import type { Entry } from '#wire';
import type { EndedJob, JobTable, OpenJob } from '../jobs/job-table.js';

/** The state service that holds the job records, and the job table that holds a copy of them. */
export interface JobStoreOptions {
  client: StateClient;
  commits: GroupCommit;
  jobs: JobTable;
}

/** A job record to be written. */
export interface JobRecordWrite {
  id: string;
  /** The team on whose behalf the record is written; teams take turns in group commit. */
  team: string;
  value: unknown;
  /** The version that the existing record must have; 0 if no record may exist. */
  version: number;
}

/** Accesses job records with the durability that answers to users require (docs/safety.md, point 8). */
export class JobStore {
  constructor(private readonly options: JobStoreOptions) {}

  /**
   * Returns the durable state of the job, or undefined if the job was never accepted. A final state never
   * changes, so it is taken from the job table. Any other result first waits for the read index of the
   * job cache. Rejects like `PrefixCache.sync`.
   */
  async lookUp(id: string): Promise<OpenJob | EndedJob | undefined> {
    const { jobs } = this.options;
    const known = jobs.get(id);
    if (known && known.phase !== 'accepted') return known;
    await jobs.cache.sync();
    return jobs.get(id);
  }

  /** Writes a record if its version is as expected. Rejects like `GroupCommit.commit`. */
  commit({ id, team, value, version }: JobRecordWrite): ReturnType<GroupCommit['commit']> {
    const key = jobKey(id);
    return this.options.commits.commit(team, [{ key, version }], [{ put: key, value }]);
  }

  /** Applies a committed record to the job table before the watch delivers it. */
  applyCommitted({ id, value }: JobRecordWrite, revision: number): void {
    this.options.jobs.cache.applyLocal(jobKey(id), value, revision);
  }

  /** Reads the record of a job; null if there is none. Rejects like `StateClient.callInBackground`. */
  read(id: string): Promise<Entry | null> {
    const key = jobKey(id);
    return this.options.client.callInBackground(undefined, (api) => api.get(key));
  }

  /** Applies a record that `read` returned to the job table. */
  applyRead(id: string, entry: Entry | null): void {
    if (entry) this.options.jobs.cache.applyLocal(jobKey(id), entry.value, entry.version);
  }
}
