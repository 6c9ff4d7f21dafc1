/** Reads and writes the records of jobs for users' requests. */
import { type GroupCommit, jobKey, type StateClient } from '#store';
import type { Entry } from '#wire';
import type { EndedJob, JobTable, OpenJob } from '../jobs/job-table.js';

/** Where the records are: in the state service, and as a copy in the job table. */
export interface JobStoreOptions {
  client: StateClient;
  commits: GroupCommit;
  jobs: JobTable;
}

/** A job's record as it is to be written. */
export interface JobRecordWrite {
  id: string;
  /** The team whose turn among all teams' changes it takes. */
  team: string;
  value: unknown;
  /** The version that the record must have; 0 if it must not exist. */
  version: number;
}

/** The records of jobs with the durability that answers to users need (docs/safety.md, point 8). */
export class JobStore {
  constructor(private readonly options: JobStoreOptions) {}

  /**
   * The job as it is durable now, undefined if it was never accepted. A final state never changes, so
   * it comes from the job table; anything else waits for the read index. Rejects as `PrefixCache.sync`.
   */
  async lookUp(id: string): Promise<OpenJob | EndedJob | undefined> {
    const { jobs } = this.options;
    const known = jobs.get(id);
    if (known && known.phase !== 'accepted') return known;
    await jobs.cache.sync();
    return jobs.get(id);
  }

  /** Writes a record on the condition of its version. Rejects as `GroupCommit.commit`. */
  commit({ id, team, value, version }: JobRecordWrite): ReturnType<GroupCommit['commit']> {
    const key = jobKey(id);
    return this.options.commits.commit(team, [{ key, version }], [{ put: key, value }]);
  }

  /** Applies a record that was committed to the job table, before the watch brings it. */
  applyCommitted({ id, value }: JobRecordWrite, revision: number): void {
    this.options.jobs.cache.applyLocal(jobKey(id), value, revision);
  }

  /** Reads the record of a job, null if there is none. Rejects as `StateClient.callInBackground`. */
  read(id: string): Promise<Entry | null> {
    const key = jobKey(id);
    return this.options.client.callInBackground(undefined, (api) => api.get(key));
  }

  /** Applies a record that was read to the job table. */
  applyRead(id: string, entry: Entry | null): void {
    if (entry) this.options.jobs.cache.applyLocal(jobKey(id), entry.value, entry.version);
  }
}
