/** Records cancellations whose own controller did not. */
import type { GroupCommit, StateClient } from '#store';
import type { Clock } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { Log } from '../observability/log.js';
import { jobEnding } from './job-ending.js';

/** Heartbeat intervals that the controller with the request has to record it, and between attempts. */
const RECORD_DELAY_INTERVALS = 4;

/** What a `CancellationRecorder` works on. */
export interface CancellationRecorderOptions {
  clock: Clock;
  client: StateClient;
  commits: GroupCommit;
  jobs: JobTable;
  /** Jobs that were cancelled on request before a record said so, and since when each waits; see JobIntake. */
  unrecorded: Map<string, number>;
  heartbeatIntervalS: number;
  log: Log;
}

/**
 * Records cancellations that a leader has acted upon and that nobody else has recorded: the controller that
 * accepted the request may have ended, or the user may have given up repeating it. Until then such a job would
 * be called pending while nothing of it runs. A job that was recorded as done before stays done.
 */
export class CancellationRecorder {
  constructor(private readonly options: CancellationRecorderOptions) {}

  /** Begins to record what is due. What fails is logged at debug and tried again later. */
  recordDue(): void {
    const { clock, client, unrecorded, heartbeatIntervalS, log } = this.options;
    if (unrecorded.size === 0 || client.isFailing) return;
    const now = clock.now();
    for (const [id, waitingSince] of unrecorded) {
      if (now < waitingSince + RECORD_DELAY_INTERVALS * heartbeatIntervalS) continue;
      unrecorded.set(id, now);
      this.record(id).catch((err: unknown) => {
        log.debug({ job: id, err: String(err) }, 'cancellation not recorded, will be retried');
      });
    }
  }

  private async record(id: string): Promise<void> {
    const { client, jobs, commits, log } = this.options;
    const record = jobs.get(id);
    if (record?.phase !== 'accepted') return;
    const { condition, change } = jobEnding(record, 'cancelled', client.limits.valueBytes);
    const outcome = await commits.commit(record.job.team, [condition], [change]);
    if (!outcome.ok) {
      await jobs.cache.sync();
      return;
    }
    jobs.cache.applyLocal(change.put, change.value, outcome.revision);
    log.info({ job: id }, 'cancellation recorded by the leader');
  }
}
