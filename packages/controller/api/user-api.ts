/** The routes of users: submissions, queries and cancellations. */
import type { Express, Request, Response } from 'express';
import { type GroupCommit, CacheNotLoaded, type StateClient } from '#store';
import {
  type Clock,
  isJobId,
  type MachineType,
  MalformedBody,
  NoAnswer,
  StateRefused,
} from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { Admission } from './admission.js';
import { CancellationHandler } from './cancellation-handler.js';
import { DependencyValidator } from './dependency-validator.js';
import { JobStore } from './job-store.js';
import { replyError, replyJob } from './replies.js';
import type { SubmissionCheck } from './submission-check.js';
import { SubmissionHandler } from './submission-handler.js';

/** Seconds after which a user repeats a request that failed for no known reason. */
const UNEXPECTED_ERROR_RETRY_S = 1;

/** What answers to users depend on. */
export interface UserApiOptions {
  clock: Clock;
  client: StateClient;
  commits: GroupCommit;
  jobs: JobTable;
  submissionCheck: SubmissionCheck;
  types: () => MachineType[];
  admission: Admission;
  /** Seconds after which submissions are accepted again if this process is overloaded; else null. */
  overloadedForS: () => number | null;
  /** Told of every request; calls what it returns once the request is answered. */
  onRequest: (kind: RequestKind) => () => void;
  /** Told when a user has requested a cancellation and before it is recorded. */
  onCancel: (id: string) => void;
  /** Whether few connections are left. */
  isNearConnectionLimit: () => boolean;
}

/** The kinds of users' requests, as the metrics name them. */
export type RequestKind = 'submit' | 'query' | 'abort';

type Handler = (req: Request, res: Response) => Promise<void>;

/** Serves users; each kind of request has a handler. */
export class UserApi {
  private readonly store: JobStore;
  private readonly submissionHandler: SubmissionHandler;
  private readonly cancellationHandler: CancellationHandler;

  constructor(private readonly options: UserApiOptions) {
    const { clock, client, commits, jobs, submissionCheck, types, admission } = options;
    const { overloadedForS, onCancel } = options;
    const store = new JobStore({ client, commits, jobs });
    this.store = store;
    this.submissionHandler = new SubmissionHandler({
      clock,
      jobs,
      store,
      submissionCheck,
      dependencyValidator: new DependencyValidator(jobs),
      admission,
      types,
      overloadedForS,
    });
    this.cancellationHandler = new CancellationHandler({ client, jobs, store, onCancel });
  }

  /** Adds the routes. */
  mount(app: Express): void {
    app.post(
      '/submissions',
      this.wrapHandler('submit', (req, res) => this.submissionHandler.submit(req, res)),
    );
    app.get(
      '/submissions/:id',
      this.wrapHandler('query', (req, res) => this.query(req, res)),
    );
    app.post(
      '/submissions/:id/abort',
      this.wrapHandler('abort', (req, res) => this.cancellationHandler.cancel(req, res)),
    );
  }

  /** Counts the requests of a handler and answers for its errors. */
  private wrapHandler(kind: RequestKind, handler: Handler): (req: Request, res: Response) => void {
    return (req, res) => {
      res.once('finish', this.options.onRequest(kind));
      // Heartbeats keep their connections when users overrun.
      if (this.options.isNearConnectionLimit()) res.setHeader('Connection', 'close');
      handler(req, res).catch((err: unknown) => {
        this.replyFailure(res, err);
      });
    };
  }

  private replyFailure(res: Response, err: unknown): void {
    if (res.headersSent) return;
    if (err instanceof MalformedBody) replyError(res, 400, err.message);
    else if (
      err instanceof StateRefused ||
      err instanceof NoAnswer ||
      err instanceof CacheNotLoaded
    ) {
      const retryAfterS = this.options.admission.retryAfterFailureS();
      replyError(res, 503, 'the state service does not answer', retryAfterS);
    } else replyError(res, 503, 'unexpected trouble', UNEXPECTED_ERROR_RETRY_S);
  }

  private async query(req: Request, res: Response): Promise<void> {
    const id = String(req.params.id);
    const record = isJobId(id) ? await this.store.lookUp(id) : undefined;
    if (record) replyJob(res, 200, this.options.jobs.view(id, record));
    else replyError(res, 404, 'unknown job');
  }
}
