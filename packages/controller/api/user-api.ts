import type { Express, Request, Response } from 'express';
import { Clock, isJobId, MachineType, MalformedBody, NoAnswer, StateRefused } from '#wire';
import { encodeEndedJob, encodeJob, GroupCommit, jobKey, NotReady, StateClient } from '#store';
import { DependencyValidator } from './dependency-validator.js';
import { readBody, reply } from './http-bodies.js';
import type { Admission } from './admission.js';
import type { EndedJob, JobTable, OpenJob } from '../jobs/job-table.js';
import { type AcceptableJob, type Refusal, SubmissionCheck } from './submission-check.js';

export interface UserApiOptions {
  clock: Clock;
  client: StateClient;
  commits: GroupCommit;
  jobs: JobTable;
  submissions: SubmissionCheck;
  types: () => MachineType[];
  admission: Admission;
  /** Seconds after which submissions are taken again if this process is too far behind now; else null. */
  overloadedForS: () => number | null;
  /** Told of every request; what it returns is told when that was answered. */
  onRequest: (kind: string) => () => void;
  /** Told when a user has asked for an abort and before it is recorded. */
  onCancel: (id: string) => void;
  /** Few connections are left. */
  crowded: () => boolean;
}

/** What users ask: submissions, queries, aborts. */
export class UserApi {
  private readonly awaited: DependencyValidator;

  constructor(private readonly options: UserApiOptions) {
    this.awaited = new DependencyValidator(options.jobs);
  }

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
      guard('abort', (req, res) => this.cancel(req, res)),
    );
  }

  private refuse(res: Response, err: unknown): void {
    if (res.headersSent) return;
    if (err instanceof MalformedBody) reply(res, 400, { error: err.message });
    else if (err instanceof StateRefused || err instanceof NoAnswer || err instanceof NotReady) {
      const retryAfterS = this.options.admission.retryAfterFailureS();
      reply(res, 503, { error: 'the state service does not answer' }, retryAfterS);
    } else reply(res, 503, { error: 'unexpected trouble' }, 1);
  }

  /** The job as durable now, or undefined; a final state never changes and needs no asking. */
  private async lookUp(id: string): Promise<OpenJob | EndedJob | undefined> {
    const { jobs } = this.options;
    const known = jobs.get(id);
    if (known && known.phase !== 'accepted') return known;
    await jobs.cache.sync();
    return jobs.get(id);
  }

  private async submit(req: Request, res: Response): Promise<void> {
    const { jobs } = this.options;
    const overloadedForS = this.options.overloadedForS();
    if (overloadedForS !== null) {
      reply(res, 503, { error: 'overloaded' }, overloadedForS);
      return;
    }
    const raw = readBody(req.body) as { id?: unknown };
    if (typeof raw.id === 'string' && isJobId(raw.id)) {
      // A known job is known whatever the new body says.
      const known = jobs.get(raw.id);
      if (known) {
        const now = await this.lookUp(raw.id);
        reply(res, 200, jobs.view(raw.id, now ?? known));
        return;
      }
    }
    const checked = this.options.submissions.check(raw);
    if ('refusal' in checked) {
      const id = typeof raw.id === 'string' && isJobId(raw.id) ? raw.id : null;
      await this.refuseUnlessKnown(id, checked.refusal, res);
      return;
    }
    if (this.options.types().length === 0) {
      reply(res, 503, { error: 'machine types are not known yet' }, 1);
      return;
    }
    const error = await this.awaited.rejectionReason(checked.job);
    if (error !== null) {
      await this.refuseUnlessKnown(checked.job.id, { status: 422, error }, res);
      return;
    }
    const retryAfterS = this.options.admission.refuse(checked.job.team);
    if (retryAfterS === null) await this.accept(checked, res);
    else this.refuseForRate(res, retryAfterS);
  }

  /** Another controller may have accepted the id a moment ago; null: it is none. */
  private async refuseUnlessKnown(
    id: string | null,
    { status, error }: Refusal,
    res: Response,
  ): Promise<void> {
    const known = id === null ? undefined : await this.lookUp(id);
    if (id !== null && known) reply(res, 200, this.options.jobs.view(id, known));
    else reply(res, status, { error });
  }

  private refuseForRate(res: Response, retryAfterS: number): void {
    reply(res, 429, { error: 'more submissions than can be recorded' }, retryAfterS);
  }

  private async accept(acceptable: AcceptableJob, res: Response): Promise<void> {
    const { job } = acceptable;
    const { jobs } = this.options;
    // Beside the record, since it takes as long; what fails here is told below.
    const settled = this.awaited.awaitCurrentOutcomes(job);
    settled.catch(() => {});
    let isNew: boolean;
    try {
      isNew = await this.record(acceptable);
    } catch (err) {
      if (!(err instanceof StateRefused && err.status === 429)) throw err;
      this.refuseForRate(res, this.options.admission.retryAfterS(job.team));
      return;
    }
    await settled;
    const known = jobs.get(job.id);
    if (!known) reply(res, 503, { error: 'not known whether it was recorded' }, 1);
    else if (!isNew) reply(res, 200, jobs.view(job.id, known));
    else reply(res, 201, { id: job.id, phase: jobs.view(job.id, known).phase });
  }

  /** Records an accepted job; false if that was done before, or if it is not known whether it was. */
  private async record({ job, replicas }: AcceptableJob): Promise<boolean> {
    const { clock, client, commits, jobs } = this.options;
    const key = jobKey(job.id);
    const value = encodeJob({ job, replicas, acceptedAtMs: clock.wallMs(), phase: 'accepted' });
    try {
      const out = await commits.commit(job.team, [{ key, version: 0 }], [{ put: key, value }]);
      if (out.ok) {
        jobs.cache.applyLocal(key, value, out.revision);
        return true;
      }
    } catch (err) {
      if (!(err instanceof NoAnswer)) throw err;
      // It may have been applied, or may be later; the record tells, and a repeat finds it.
    }
    const entry = await client.call(false, undefined, (api) => api.get(key));
    if (entry) jobs.cache.applyLocal(key, entry.value, entry.version);
    return false;
  }

  private async query(req: Request, res: Response): Promise<void> {
    const id = String(req.params.id);
    const record = isJobId(id) ? await this.lookUp(id) : undefined;
    if (record) reply(res, 200, this.options.jobs.view(id, record));
    else reply(res, 404, { error: 'unknown job' });
  }

  private async cancel(req: Request, res: Response): Promise<void> {
    const { client, commits, jobs } = this.options;
    const id = String(req.params.id);
    const key = jobKey(id);
    let record = isJobId(id) ? await this.lookUp(id) : undefined;
    // Whoever owns hears of it first: once it is recorded we may end, and the state service with us, and
    // the user may have been told. Nobody has use for the tasks of a job whose user gives it up.
    if (record?.phase === 'accepted') this.options.onCancel(id);
    for (let attempt = 0; record && record.phase === 'accepted' && attempt < 3; attempt++) {
      const value = encodeEndedJob({ ...record, phase: 'cancelled' }, client.limits.valueBytes);
      try {
        const condition = { key, version: record.version };
        const { team } = record.job;
        const out = await commits.commit(team, [condition], [{ put: key, value }]);
        if (out.ok) {
          jobs.cache.applyLocal(key, value, out.revision);
          record = jobs.get(id);
          break;
        }
      } catch (err) {
        if (!(err instanceof NoAnswer)) throw err;
      }
      const entry = await client.call(false, undefined, (api) => api.get(key));
      if (entry) jobs.cache.applyLocal(key, entry.value, entry.version);
      record = jobs.get(id);
    }
    if (!record) reply(res, 404, { error: 'unknown job' });
    else if (record.phase === 'accepted') reply(res, 503, { error: 'try again' }, 1);
    else reply(res, 200, { id, phase: jobs.view(id, record).phase });
  }
}
