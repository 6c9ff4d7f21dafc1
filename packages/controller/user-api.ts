import type { Express, Request, Response } from 'express';
import { Clock, isJobId, Job, MachineType, MalformedBody, NoAnswer, StateRefused } from '#wire';
import {
  decodeJob,
  encodeJob,
  GroupCommit,
  jobKey,
  JobRecord,
  NotReady,
  StateClient,
} from '#store';
import { readBody, reply } from './http-bodies.js';
import { JobTable } from './jobs.js';
import { SubmissionCheck } from './submission-check.js';

export interface UserApiOptions {
  clock: Clock;
  client: StateClient;
  commits: GroupCommit;
  jobs: JobTable;
  submissions: SubmissionCheck;
  types: () => MachineType[];
  /** Busy enough that submissions are turned away. */
  overloaded: () => boolean;
  /** Told of every request; what it returns is told when that was answered. */
  onRequest: (kind: string) => () => void;
  /** Told when a user has asked for an abort and before it is recorded. */
  onAbort: (id: string) => void;
  /** Few connections are left. */
  crowded: () => boolean;
}

/** What users ask: submissions, queries, aborts. */
export class UserApi {
  constructor(private readonly options: UserApiOptions) {}

  mount(app: Express): void {
    const guard =
      (kind: string, run: (req: Request, res: Response) => Promise<void>) =>
      (req: Request, res: Response) => {
        res.once('finish', this.options.onRequest(kind));
        // Reports keep their connections when users overrun.
        if (this.options.crowded()) res.setHeader('Connection', 'close');
        run(req, res).catch((err: unknown) => this.refuse(res, err));
      };
    app.post(
      '/submissions',
      guard('submit', (req, res) => this.submit(req, res)),
    );
    app.get(
      '/submissions/:id',
      guard('query', (req, res) => this.query(req, res)),
    );
    app.post(
      '/submissions/:id/abort',
      guard('abort', (req, res) => this.abort(req, res)),
    );
  }

  private refuse(res: Response, err: unknown): void {
    if (res.headersSent) return;
    if (err instanceof MalformedBody) reply(res, 400, { error: err.message });
    else if (err instanceof StateRefused || err instanceof NoAnswer || err instanceof NotReady) {
      reply(res, 503, { error: 'the state service does not answer' }, 1);
    } else reply(res, 503, { error: 'unexpected trouble' }, 1);
  }

  /** The job as durable now, or undefined; a final state never changes and needs no asking. */
  private async lookUp(id: string): Promise<JobRecord | undefined> {
    const { jobs } = this.options;
    const known = jobs.get(id);
    if (known && known.phase !== 'accepted') return known;
    await jobs.cache.sync();
    return jobs.get(id);
  }

  private async submit(req: Request, res: Response): Promise<void> {
    const { jobs, commits } = this.options;
    if (this.options.overloaded() || commits.full) {
      reply(res, 503, { error: 'overloaded' }, 2);
      return;
    }
    const raw = readBody(req.body) as { id?: unknown };
    if (typeof raw.id === 'string' && isJobId(raw.id)) {
      // A known job is known whatever the new body says.
      const known = jobs.get(raw.id);
      if (known) {
        const now = await this.lookUp(raw.id);
        reply(res, 200, jobs.view(now ?? known));
        return;
      }
    }
    const checked = this.options.submissions.check(raw);
    if ('refusal' in checked) {
      // Another controller may have accepted this id a moment ago.
      const known =
        typeof raw.id === 'string' && isJobId(raw.id) ? await this.lookUp(raw.id) : undefined;
      const { status, error } = checked.refusal;
      if (known) reply(res, 200, jobs.view(known));
      else reply(res, status, { error });
      return;
    }
    if (this.options.types().length === 0) {
      reply(res, 503, { error: 'machine types are not known yet' }, 1);
      return;
    }
    await this.accept(checked.job, res);
  }

  private async accept(job: Job, res: Response): Promise<void> {
    const { clock, client, commits, jobs } = this.options;
    const key = jobKey(job.id);
    const value = encodeJob({ job, acceptedAtMs: clock.wallMs(), phase: 'accepted' });
    try {
      const out = await commits.commit([{ key, version: 0 }], [{ put: key, value }]);
      if (out.ok) {
        jobs.cache.learn(key, value, out.revision);
        reply(res, 201, { id: job.id, phase: 'pending' });
        return;
      }
    } catch (err) {
      if (!(err instanceof NoAnswer)) throw err;
      // It may have been applied, or may be later; the record tells, and a repeat finds it.
    }
    const entry = await client.call(false, undefined, (api) => api.get(key));
    if (!entry) {
      reply(res, 503, { error: 'not known whether it was recorded' }, 1);
      return;
    }
    jobs.cache.learn(key, entry.value, entry.version);
    reply(res, 200, jobs.view(decodeJob(entry.value, entry.version)));
  }

  private async query(req: Request, res: Response): Promise<void> {
    const id = String(req.params.id);
    const record = isJobId(id) ? await this.lookUp(id) : undefined;
    if (record) reply(res, 200, this.options.jobs.view(record));
    else reply(res, 404, { error: 'unknown job' });
  }

  private async abort(req: Request, res: Response): Promise<void> {
    const { client, commits, jobs } = this.options;
    const id = String(req.params.id);
    const key = jobKey(id);
    let record = isJobId(id) ? await this.lookUp(id) : undefined;
    // Whoever owns hears of it first: once it is recorded we may end, and the state service with us, and
    // the user may have been told. Nobody has use for the tasks of a job whose user gives it up.
    if (record?.phase === 'accepted') this.options.onAbort(id);
    for (let attempt = 0; record && record.phase === 'accepted' && attempt < 3; attempt++) {
      const value = encodeJob({ ...record, phase: 'aborted' });
      try {
        const out = await commits.commit([{ key, version: record.version }], [{ put: key, value }]);
        if (out.ok) {
          jobs.cache.learn(key, value, out.revision);
          record = jobs.get(id);
          break;
        }
      } catch (err) {
        if (!(err instanceof NoAnswer)) throw err;
      }
      const entry = await client.call(false, undefined, (api) => api.get(key));
      if (entry) jobs.cache.learn(key, entry.value, entry.version);
      record = jobs.get(id);
    }
    if (!record) reply(res, 404, { error: 'unknown job' });
    else if (record.phase === 'accepted') reply(res, 503, { error: 'try again' }, 1);
    else reply(res, 200, { id, phase: record.phase });
  }
}
