/** Answers `POST /submissions`. */
import type { Request, Response } from 'express';
import { encodeJob } from '#store';
import { type Clock, isJobId, type MachineType, NoAnswer, StateRefused } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { Admission, ExhaustedResource } from './admission.js';
import type { DependencyValidator } from './dependency-validator.js';
import type { JobStore } from './job-store.js';
import { replyError, replyJob } from './replies.js';
import { readBody } from './request-body.js';
import type { AcceptableJob, Refusal, SubmissionCheck } from './submission-check.js';

/** HTTP status for requests that exceed a limit: of the state service, or of this controller. */
const TOO_MANY_REQUESTS = 429;
/** Version that stands for a record that doesn't exist. */
const ABSENT_RECORD_VERSION = 0;
/** `Retry-After` of a submission that could be neither accepted nor refused, in seconds. */
const UNDECIDED_RETRY_S = 1;
/** Errors of submissions that have to be repeated later. */
const TOO_MANY_ERRORS: Record<ExhaustedResource, string> = {
  'write rate': 'more submissions than can be recorded',
  memory: 'more open jobs than the controllers have memory for',
};

/** Dependencies of `SubmissionHandler`. */
export interface SubmissionHandlerOptions {
  clock: Clock;
  jobs: JobTable;
  store: JobStore;
  submissionCheck: SubmissionCheck;
  dependencyValidator: DependencyValidator;
  admission: Admission;
  types: () => MachineType[];
  /** Seconds until an overloaded process accepts submissions again; null if the process is not overloaded. */
  overloadedForS: () => number | null;
}

/** Accepts submissions, refuses jobs that can never run, and returns the state of jobs that are already known. */
export class SubmissionHandler {
  constructor(private readonly options: SubmissionHandlerOptions) {}

  /** Answers one submission. Rejects with MalformedBody, or with an error if the state service fails. */
  async submit(req: Request, res: Response): Promise<void> {
    const { jobs, store, submissionCheck, types } = this.options;
    const overloadedForS = this.options.overloadedForS();
    if (overloadedForS !== null) {
      replyError(res, 503, 'overloaded', overloadedForS);
      return;
    }
    const raw = readBody(req.body);
    const id = typeof raw.id === 'string' && isJobId(raw.id) ? raw.id : null;
    const known = id === null ? undefined : jobs.get(id);
    if (id !== null && known) {
      // Submission is idempotent: the state of a known job is returned whatever the new body contains.
      const current = await store.lookUp(id);
      replyJob(res, 200, jobs.view(id, current ?? known));
      return;
    }
    const checked = submissionCheck.check(raw);
    if ('refusal' in checked) {
      await this.refuseUnlessKnown(id, checked.refusal, res);
      return;
    }
    if (types().length === 0) {
      replyError(res, 503, 'machine types are not known yet', UNDECIDED_RETRY_S);
      return;
    }
    const reservation = jobs.memory.reserve(checked.job, bodyBytes(req));
    if (reservation === null) {
      this.refuseForNow(checked.job.team, 'memory', res);
      return;
    }
    try {
      await this.admit(checked, res);
    } finally {
      reservation.release();
    }
  }

  /** Accepts a job for which there is memory, unless its dependencies or the write rate forbid it. */
  private async admit(acceptable: AcceptableJob, res: Response): Promise<void> {
    const { dependencyValidator, admission } = this.options;
    const { job } = acceptable;
    const error = await dependencyValidator.rejectionReason(job);
    if (error !== null) {
      await this.refuseUnlessKnown(job.id, { status: 422, error }, res);
      return;
    }
    const retryAfterS = admission.refusalDelayS(job.team);
    if (retryAfterS === null) await this.accept(acceptable, res);
    else replyTooMany(res, 'write rate', retryAfterS);
  }

  /**
   * Refuses a submission unless another controller has just accepted its id, in which case the job's state
   * is returned. The id is null if the body has none.
   */
  private async refuseUnlessKnown(
    id: string | null,
    { status, error }: Refusal,
    res: Response,
  ): Promise<void> {
    const { jobs, store } = this.options;
    const known = id === null ? undefined : await store.lookUp(id);
    if (id !== null && known) replyJob(res, 200, jobs.view(id, known));
    else replyError(res, status, error);
  }

  private refuseForNow(team: string, exhausted: ExhaustedResource, res: Response): void {
    replyTooMany(res, exhausted, this.options.admission.refuse(team, exhausted));
  }

  private async accept(acceptable: AcceptableJob, res: Response): Promise<void> {
    const { jobs, dependencyValidator } = this.options;
    const { job } = acceptable;
    // Runs concurrently with the write of the record, since both take about as long.
    const outcomesSync = dependencyValidator.syncOutcomes(job);
    outcomesSync.catch(() => {
      // `await outcomesSync` below throws this error, unless the write of the record fails first.
    });
    let isNew: boolean;
    try {
      isNew = await this.record(acceptable);
    } catch (err) {
      if (!(err instanceof StateRefused && err.status === TOO_MANY_REQUESTS)) throw err;
      this.refuseForNow(job.team, 'write rate', res);
      return;
    }
    await outcomesSync;
    const known = jobs.get(job.id);
    if (!known) replyError(res, 503, 'not known whether it was recorded', UNDECIDED_RETRY_S);
    else if (!isNew) replyJob(res, 200, jobs.view(job.id, known));
    else replyJob(res, 201, { id: job.id, phase: jobs.view(job.id, known).phase });
  }

  /** Records an accepted job. Returns false if the job was already recorded or if the outcome is unknown. */
  private async record({ job, replicas }: AcceptableJob): Promise<boolean> {
    const { clock, store } = this.options;
    const value = encodeJob({ job, replicas, acceptedAtMs: clock.wallMs(), phase: 'accepted' });
    const write = { id: job.id, team: job.team, value, version: ABSENT_RECORD_VERSION };
    try {
      const outcome = await store.commit(write);
      if (outcome.ok) {
        store.applyCommitted(write, outcome.revision);
        return true;
      }
    } catch (err) {
      if (!(err instanceof NoAnswer)) throw err;
      // The write may have been applied, or may still be. The read below shows a record that exists now; a
      // later one is found when the user repeats the submission.
    }
    store.applyRead(job.id, await store.read(job.id));
    return false;
  }
}

function replyTooMany(res: Response, exhausted: ExhaustedResource, retryAfterS: number): void {
  replyError(res, TOO_MANY_REQUESTS, TOO_MANY_ERRORS[exhausted], retryAfterS);
}

/** Size of the request's body, in bytes; 0 if it has none. */
function bodyBytes({ body }: Request): number {
  return Buffer.isBuffer(body) ? body.length : 0;
}
