import type { Express, Request, Response } from 'express';
import {
  Clock,
  isJobId,
  Job,
  MachineType,
  MalformedBody,
  NoAnswer,
  parseJob,
  StateRefused,
} from '#wire';
import { TeamTerms, typeFits, withinLimit } from '#core';
import {
  decodeJob,
  encodeJob,
  GroupCommit,
  jobKey,
  JobRecord,
  NotReady,
  sizeInJson,
  StateClient,
} from '#store';
import { readBody, reply } from './http-bodies.js';
import { JobTable } from './jobs.js';

export interface UserApiOptions {
  clock: Clock;
  client: StateClient;
  commits: GroupCommit;
  jobs: JobTable;
  teams: Map<string, TeamTerms>;
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
    let refusal: { status: number; error: string } | null = null;
    let job: Job | null = null;
    try {
      job = parseJob(raw);
      const never = this.neverRuns(job);
      if (never) refusal = { status: 422, error: never };
    } catch (err) {
      if (!(err instanceof MalformedBody)) throw err;
      refusal = { status: 400, error: err.message };
    }
    if (refusal || !job) {
      // Another controller may have accepted this id a moment ago.
      const known =
        typeof raw.id === 'string' && isJobId(raw.id) ? await this.lookUp(raw.id) : undefined;
      if (known) reply(res, 200, jobs.view(known));
      else reply(res, refusal?.status ?? 400, { error: refusal?.error ?? 'invalid' });
      return;
    }
    if (this.options.types().length === 0) {
      reply(res, 503, { error: 'machine types are not known yet' }, 1);
      return;
    }
    await this.accept(job, res);
  }

  private async accept(job: Job, res: Response): Promise<void> {
    const { clock, client, commits, jobs } = this.options;
    const known = new Set(this.options.types().map((t) => t.name));
    // Types that do not exist here need no place in the record.
    const kept =
      job.types && job.types.length > known.size
        ? { ...job, types: job.types.filter((t) => known.has(t)) }
        : job;
    const key = jobKey(job.id);
    const record = { job: kept, acceptedAtMs: clock.wallMs(), phase: 'accepted' as const };
    const value = encodeJob(record);
    if (sizeInJson([{ put: key, value }]) > client.limits.valueBytes) {
      throw new MalformedBody('texts are too long');
    }
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

  /** Why a job can never run, or null. */
  private neverRuns(job: Job): string | null {
    const terms = this.options.teams.get(job.team);
    if (!terms) return 'unknown team';
    const n = job.kind === 'array' ? 1 : job.tasks;
    const need = { cpus: job.cpus * n, gpus: job.gpus * n, memory: 0 };
    if (!withinLimit(terms, { cpus: 0, gpus: 0, memory: 0 }, need)) {
      return "more than the team's limit";
    }
    const types = this.options.types();
    if (types.length > 0 && !types.some((t) => typeFits(job, t))) {
      return 'a task fits no allowed machine type';
    }
    return null;
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
