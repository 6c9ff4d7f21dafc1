/** Requests that are unusual, invalid or about unknown jobs. */
import { jobToWire, REQUIRED_JOB_FIELDS, type Job, type Runtime } from '#wire';
import type { Observer } from '../events.js';
import type { JobUser } from './job-user.js';
import type { UserRequests } from './requests.js';

/** The first of the ids that no workload gives to its jobs. */
const FIRST_ODD_ID = 900_000;
const EXCESSIVE_AMOUNT = 1_000_000;

/** Changes that make a job unschedulable: no machine or no team fits it. */
const UNSCHEDULABLE_VARIANTS: ((job: Job) => Job)[] = [
  (job) => ({ ...job, cpus: EXCESSIVE_AMOUNT }),
  (job) => ({ ...job, gpus: EXCESSIVE_AMOUNT }),
  (job) => ({ ...job, memory: EXCESSIVE_AMOUNT }),
  (job) => ({ ...job, types: ['no-such-type'] }),
  (job) => ({ ...job, team: 'no-such-team' }),
];

/** Sends requests that no sound client sends; the service must still keep the rules of the protocol. */
export class OddRequests {
  private nextId = FIRST_ODD_ID;

  constructor(
    private readonly runtime: Runtime,
    private readonly requests: UserRequests,
    private readonly observer: Observer,
  ) {}

  /** Sends one odd request, chosen at random, about one of the jobs or a new one. */
  async sendOne(jobs: JobUser[]): Promise<void> {
    const active = this.pick(jobs.filter((job) => job.accepted && !job.ended));
    const ended = this.pick(jobs.filter((job) => job.ended));
    const sample = this.pick(jobs)?.plan.program.job;
    const choices: (() => Promise<unknown>)[] = [() => this.pollUnknownJob()];
    if (active) choices.push(() => active.resubmit());
    if (ended) choices.push(() => this.requests.cancel(ended.id));
    if (sample)
      choices.push(
        () => this.submitUnschedulable(sample),
        () => this.submitIncomplete(sample),
      );
    await this.pickFrom(choices)();
  }

  /** Polls a job that nobody has submitted. */
  pollUnknownJob(): Promise<unknown> {
    return this.requests.poll(this.newId());
  }

  private async submitUnschedulable(sample: Job): Promise<void> {
    const job = { ...this.pickFrom(UNSCHEDULABLE_VARIANTS)(sample), id: this.newId() };
    this.observer({ kind: 'job-submitted', id: job.id, job, runnable: false });
    await this.requests.submit(job.id, jobToWire(job));
  }

  private async submitIncomplete(sample: Job): Promise<void> {
    const job = { ...sample, id: this.newId() };
    // The id stays, as the rule checker needs it to find the job of the request.
    const missing = this.pickFrom(REQUIRED_JOB_FIELDS.filter((field) => field !== 'id'));
    const fields = Object.entries(jobToWire(job)).filter(([field]) => field !== missing);
    const body = Object.fromEntries(fields);
    this.observer({ kind: 'job-submitted', id: job.id, job, runnable: false });
    await this.requests.submit(job.id, body);
  }

  private newId(): string {
    return `j-${this.nextId++}`;
  }

  private pickFrom<T>(items: T[]): T {
    const picked = this.pick(items);
    if (picked === undefined) throw new Error('cannot pick from an empty list');
    return picked;
  }

  private pick<T>(items: T[]): T | undefined {
    return items[Math.floor(this.runtime.random() * items.length)];
  }
}
