/** Records cancellations that the controller which accepted the request did not record. */
import type { GroupCommit, StateClient } from '#store';
import type { Clock } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { Log } from '../observability/log.js';
import { createJobEnding } from './job-ending.js';

/**
 * Time that the controller which accepted a request gets to record the cancellation, and time between
 * attempts of the leader; heartbeat intervals.
 */
const RECORD_DELAY_INTERVALS = 4;

/** Dependencies of a `CancellationRecorder`. */
export interface CancellationRecorderOptions {
  clock: Clock;
  client: StateClient;
  commits: GroupCommit;
  jobs: JobTable;
  /**
   * Jobs whose cancellation is not recorded yet, each with the time of the cancellation or of the last attempt to
   * record it, in seconds of the monotonic clock; see `JobIntake.unrecordedCancellations`.
   */
  unrecordedCancellations: Map<string, number>;
  heartbeatIntervalS: number;
  log: Log;
}

/**
 * Records cancellations that the leader has carried out but that no other controller has recorded: the controller that
 * accepted the request may have stopped, or the user may have stopped retrying. Without a record, users would see the
 * job as pending although none of its tasks runs. A job that is already recorded as done stays done.
 */
export class CancellationRecorder {
  constructor(private readonly options: CancellationRecorderOptions) {}

  /** Starts to record all cancellations that are due. Failures are logged at debug level and retried later. */
  recordDue(): void {
    const { clock, client, unrecordedCancellations, heartbeatIntervalS, log } = this.options;
    if (unrecordedCancellations.size === 0 || client.isFailing) return;
    const now = clock.now();
    for (const [id, waitingSince] of unrecordedCancellations) {
      if (now < waitingSince + RECORD_DELAY_INTERVALS * heartbeatIntervalS) continue;
      unrecordedCancellations.set(id, now);
      this.record(id).catch((err: unknown) => {
        log.debug({ job: id, err: String(err) }, 'cancellation not recorded, will be retried');
      });
    }
  }

  private async record(id: string): Promise<void> {
    const { client, jobs, commits, log } = this.options;
    const record = jobs.get(id);
    if (record?.phase !== 'accepted') return;
    const { condition, change } = createJobEnding(record, 'cancelled', client.limits.valueBytes);
    const outcome = await commits.commit(record.job.team, [condition], [change]);
    if (!outcome.ok) {
      await jobs.cache.sync();
      return;
    }
    jobs.cache.applyLocal(change.put, change.value, outcome.revision);
    log.info({ job: id }, 'cancellation recorded by the leader');
  }
}
