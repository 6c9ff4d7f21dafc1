/** Answers `POST /submissions/{id}/abort`. */
import type { Request, Response } from 'express';
import type { StateClient } from '#store';
import { isJobId, NoAnswer } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import { jobEnding } from '../records/job-ending.js';
import type { JobStore } from './job-store.js';
import { replyError, replyJob } from './replies.js';

/** Attempts to record one cancellation; the record may change in between. */
const MAX_WRITE_ATTEMPTS = 3;
/** Seconds after which a user repeats a cancellation that was not recorded. */
const RETRY_AFTER_S = 1;

/** What records a cancellation, and who is told of it before. */
export interface CancellationHandlerOptions {
  client: Pick<StateClient, 'limits'>;
  jobs: JobTable;
  store: JobStore;
  /** Told when a user has requested a cancellation and before it is recorded. */
  onCancel: (id: string) => void;
}

/** Cancels jobs. */
export class CancellationHandler {
  constructor(private readonly options: CancellationHandlerOptions) {}

  /** Answers one request. Rejects with an error of the state service. */
  async cancel(req: Request, res: Response): Promise<void> {
    const { client, jobs, store, onCancel } = this.options;
    const id = String(req.params.id);
    let record = isJobId(id) ? await store.lookUp(id) : undefined;
    // The leader learns of it first: once it is recorded this process may end, and the state service
    // with it, and the user may have been told. Nobody has use for the tasks of a job that is given up.
    if (record?.phase === 'accepted') onCancel(id);
    for (let attempt = 0; record?.phase === 'accepted' && attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      const { condition, change } = jobEnding(record, 'cancelled', client.limits.valueBytes);
      const { team } = record.job;
      const write = { id, team, value: change.value, version: condition.version };
      try {
        const outcome = await store.commit(write);
        if (outcome.ok) {
          store.applyCommitted(write, outcome.revision);
          record = jobs.get(id);
          break;
        }
      } catch (err) {
        if (!(err instanceof NoAnswer)) throw err;
        // It may have been applied, or may be later; the record that is read next tells.
      }
      store.applyRead(id, await store.read(id));
      record = jobs.get(id);
    }
    if (!record) replyError(res, 404, 'unknown job');
    else if (record.phase === 'accepted') replyError(res, 503, 'try again', RETRY_AFTER_S);
    else replyJob(res, 200, { id, phase: jobs.view(id, record).phase });
  }
}
