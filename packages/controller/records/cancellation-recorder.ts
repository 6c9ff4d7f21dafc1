import { encodeEndedJob, type GroupCommit, jobKey, type StateClient } from '#store';
import type { Clock } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { Log } from '../observability/log.js';

/** Report periods that the controller which took a request has to record it, and between attempts. */
const PATIENCE_PERIODS = 4;

export interface CancellationRecorderOptions {
  clock: Clock;
  client: StateClient;
  commits: GroupCommit;
  jobs: JobTable;
  /** Jobs that were ended on request before a record said so, and since when each waits; see JobIntake. */
  unrecorded: Map<string, number>;
  heartbeatIntervalS: number;
  log: Log;
}

/**
 * Records cancellations that an owner has acted upon and that nobody else has recorded: the controller that
 * took the request may have ended, or the user may have given up repeating it. Until then such a job would be
 * called pending while nothing of it runs. A job that was recorded as done before stays done.
 */
export class CancellationRecorder {
  constructor(private readonly options: CancellationRecorderOptions) {}

  /** Begins to record what is due. */
  push(): void {
    const { clock, client, unrecorded, heartbeatIntervalS } = this.options;
    if (unrecorded.size === 0 || client.failing) return;
    const now = clock.now();
    for (const [id, waitsSince] of unrecorded) {
      if (now < waitsSince + PATIENCE_PERIODS * heartbeatIntervalS) continue;
      unrecorded.set(id, now);
      // What fails is tried again.
      void this.record(id).catch(() => {});
    }
  }

  private async record(id: string): Promise<void> {
    const { jobs, commits, log } = this.options;
    const record = jobs.get(id);
    if (record?.phase !== 'accepted') return;
    const key = jobKey(id);
    const { valueBytes } = this.options.client.limits;
    const value = encodeEndedJob({ ...record, phase: 'cancelled' }, valueBytes);
    const condition = { key, version: record.version };
    const outcome = await commits.commit(record.job.team, [condition], [{ put: key, value }]);
    if (!outcome.ok) {
      await jobs.cache.sync();
      return;
    }
    jobs.cache.applyLocal(key, value, outcome.revision);
    log.info({ job: id }, 'cancellation recorded by the owner');
  }
}
