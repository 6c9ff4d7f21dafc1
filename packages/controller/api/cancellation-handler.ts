/** Answers `POST /submissions/{id}/abort`. */
import type { Request, Response } from 'express';
import type { StateClient } from '#store';
import { isJobId, NoAnswer } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import { createJobEnding } from '../records/job-ending.js';
import type { JobStore } from './job-store.js';
import { replyError, replyJob } from './replies.js';

/** Limit of the attempts to record one cancellation. An attempt fails if the job's record has changed. */
const MAX_WRITE_ATTEMPTS = 3;
/** `Retry-After` of a cancellation that was not recorded, in seconds. */
const RETRY_AFTER_S = 1;

/** Dependencies of `CancellationHandler`. */
export interface CancellationHandlerOptions {
  client: Pick<StateClient, 'limits'>;
  jobs: JobTable;
  store: JobStore;
  /** Called when a user has requested a cancellation, before the cancellation is recorded. */
  onCancel: (id: string) => void;
}

/** Cancels jobs. */
export class CancellationHandler {
  constructor(private readonly options: CancellationHandlerOptions) {}

  /** Answers one cancellation request. Rejects if the state service fails. */
  async cancel(req: Request, res: Response): Promise<void> {
    const { client, jobs, store, onCancel } = this.options;
    const id = String(req.params.id);
    let record = isJobId(id) ? await store.lookUp(id) : undefined;
    // The leader is told of the cancellation before it is recorded. Afterwards this process and the state
    // service may fail, and the user may already have the answer, but the job's tasks would still run. It
    // is safe to stop the tasks early, since nobody needs the tasks of a job whose user cancelled it.
    if (record?.phase === 'accepted') onCancel(id);
    for (let attempt = 0; record?.phase === 'accepted' && attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      const { condition, change } = createJobEnding(record, 'cancelled', client.limits.valueBytes);
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
        // The write may have been applied, or may still be; the read below shows the record's current state.
      }
      store.applyRead(id, await store.read(id));
      record = jobs.get(id);
    }
    if (!record) replyError(res, 404, 'unknown job');
    else if (record.phase === 'accepted') replyError(res, 503, 'try again', RETRY_AFTER_S);
    else replyJob(res, 200, { id, phase: jobs.view(id, record).phase });
  }
}
