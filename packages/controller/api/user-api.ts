/** The HTTP routes for users: submissions, queries and cancellations. */
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

/** `Retry-After` of a request that failed with an unexpected error, in seconds. */
const UNEXPECTED_ERROR_RETRY_S = 1;

/** Dependencies of `UserApi`. */
export interface UserApiOptions {
  clock: Clock;
  client: StateClient;
  commits: GroupCommit;
  jobs: JobTable;
  submissionCheck: SubmissionCheck;
  types: () => MachineType[];
  admission: Admission;
  /** Seconds until an overloaded process accepts submissions again; null if the process is not overloaded. */
  overloadedForS: () => number | null;
  /** Called for every request. The function that it returns is called once the request is answered. */
  onRequest: (kind: RequestKind) => () => void;
  /** Called when a user has requested a cancellation, before the cancellation is recorded. */
  onCancel: (id: string) => void;
  /** Whether the number of open connections is close to the limit. */
  isNearConnectionLimit: () => boolean;
}

/** The kinds of users' requests, as they appear in metrics. */
export type RequestKind = 'submit' | 'query' | 'abort';

type Handler = (req: Request, res: Response) => Promise<void>;

/** Routes users' requests to the handler of their kind. */
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

  /** Adds the routes to the application. */
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

  /** Wraps a handler so that its requests are counted and its errors are answered. */
  private wrapHandler(kind: RequestKind, handler: Handler): (req: Request, res: Response) => void {
    return (req, res) => {
      res.once('finish', this.options.onRequest(kind));
      // Close to the connection limit, users' connections are not kept, so that workers can keep theirs for
      // heartbeats.
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
