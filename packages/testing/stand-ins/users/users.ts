/** All users: they submit jobs through the load balancer, ask about them and cancel some. */
import { setMaxListeners } from 'node:events';
import { pause, type Runtime } from '#wire';
import type { Observer } from '../events.js';
import type { JobStorage } from '../job-storage.js';
import type { ControllerAddress } from '../worker/index.js';
import type { WorldState } from '../world-state.js';
import { PollBursts } from './poll-bursts.js';
import { JobConduct, type JobNews } from './job-conduct.js';
import { OddRequests } from './odd-requests.js';
import type { PlannedJob } from './planned-job.js';
import { UserRequests } from './requests.js';

/** What all users share. */
export interface UsersOptions {
  runtime: Runtime;
  /** Address of the load balancer. */
  balancer: string;
  /** The nodes themselves, for bursts of polls. */
  nodes: ControllerAddress[];
  storage: JobStorage;
  observer: Observer;
}

const STRAY_QUESTION_PERIOD_S = 20;
const ODD_REQUEST_PERIOD_S = 1;
const CANCEL_NOW_WITHIN_S = 0.2;
/** A job with a task of such a run time has long to go, in seconds. */
const LONG_RUN_S = 30;
/** Of the jobs that are polled in bursts, this share is cancelled right after its acceptance. */
const CANCEL_AT_ONCE_SHARE = 0.1;

/** Starts the users of all jobs, and makes their requests follow the faults of the run. */
export class Users {
  private readonly jobs = new Map<string, JobConduct>();
  private readonly requests: UserRequests;
  private readonly nodes: UserRequests[];
  private readonly pollBursts: PollBursts;
  private readonly oddRequests: OddRequests;
  private readonly stopping = new AbortController();
  private pollsInBursts = false;
  private odd = false;
  private cancelAtEndShare = 0;

  constructor(private readonly options: UsersOptions) {
    const { runtime, balancer, nodes, storage, observer } = options;
    this.requests = new UserRequests(runtime, balancer, observer);
    this.nodes = nodes.map(({ address }) => new UserRequests(runtime, address, observer));
    this.pollBursts = new PollBursts(runtime, this.nodes);
    this.oddRequests = new OddRequests(runtime, this.requests, observer);
    // Each job under way listens to it.
    setMaxListeners(0, this.stopping.signal);
    storage.onJobComplete((job) => {
      this.jobEnded(job);
    });
  }

  /** Begins with the plan; its times count from now. */
  start(plan: PlannedJob[]): void {
    for (const job of plan) {
      this.options.runtime.clock.setTimer(() => {
        this.submit(job);
      }, job.submitAtS * 1000);
    }
    void this.repeat(STRAY_QUESTION_PERIOD_S, () => this.oddRequests.askAboutNothing());
    void this.repeat(ODD_REQUEST_PERIOD_S, () => this.makeOddRequest());
  }

  /** A user submits the job now and goes on by the plan. */
  submit(plan: PlannedJob): void {
    if (this.isStopped()) return;
    this.options.storage.upload(plan.program);
    const conduct = new JobConduct(plan, {
      runtime: this.options.runtime,
      requests: this.requests,
      observer: this.options.observer,
      onNews: (job, news) => {
        this.received(job, news);
      },
      signal: this.stopping.signal,
    });
    this.jobs.set(conduct.id, conduct);
    void this.runInTurn(conduct);
  }

  /** A job with dependencies is submitted once these are accepted, or once they are over. */
  private async runInTurn(conduct: JobConduct): Promise<void> {
    const { isSubmittedLate, program } = conduct.plan;
    const dependencies = program.job.awaits.map((id) => this.jobs.get(id));
    const known = dependencies.filter((each) => each !== undefined);
    await Promise.all(
      known.map((each) => (isSubmittedLate ? each.whenOver() : each.whenAccepted())),
    );
    if (!this.isStopped()) await conduct.run();
  }

  /** Asks and submits no more. */
  stop(): void {
    this.stopping.abort();
    for (const requests of [this.requests, ...this.nodes]) requests.close();
  }

  /** The user of the job cancels it now. */
  cancel(job: string): void {
    void this.jobs.get(job)?.cancel();
  }

  /**
   * Cancels up to so many jobs that run and have long to go, within a fifth of a second; returns the
   * machines that they are on.
   */
  cancelNow(count: number, state: WorldState): string[] {
    const chosen = [...this.jobs.values()]
      .filter((job) => job.accepted && !job.over && !job.cancelling)
      .filter((job) => state.started(job.id).length > 0 && hasLongToGo(job, state))
      .map((job) => ({ job, order: this.options.runtime.random() }))
      .sort((first, second) => first.order - second.order)
      .slice(0, count)
      .map(({ job }) => job);
    for (const job of chosen) {
      const delayMs = this.options.runtime.random() * CANCEL_NOW_WITHIN_S * 1000;
      this.options.runtime.clock.setTimer(() => void job.cancel(), delayMs);
    }
    return chosen.flatMap((job) => state.started(job.id).map((place) => place.machine));
  }

  /** That share of the jobs that end is cancelled at the moment of the end; 0 ends it. */
  setCancelAtEnd(share: number): void {
    this.cancelAtEndShare = share;
  }

  /** Requests that no program would make, each second. */
  setOddRequests(odd: boolean): void {
    this.odd = odd;
  }

  /** All nodes are asked within milliseconds after a job was accepted, ended or cancelled. */
  setPollBursts(pollsInBursts: boolean): void {
    this.pollsInBursts = pollsInBursts;
  }

  private received(job: string, news: JobNews): void {
    if (!this.pollsInBursts) return;
    this.pollInBurst(job);
    const cancelAtOnce = this.options.runtime.random() < CANCEL_AT_ONCE_SHARE;
    if (news === 'accepted' && cancelAtOnce) this.cancel(job);
  }

  private jobEnded(job: string): void {
    if (this.pollsInBursts) this.pollInBurst(job);
    if (this.options.runtime.random() < this.cancelAtEndShare) this.cancel(job);
  }

  private pollInBurst(job: string): void {
    const conduct = this.jobs.get(job);
    if (conduct) this.pollBursts.poll(conduct.plan.program.job);
  }

  private async makeOddRequest(): Promise<void> {
    if (this.odd) await this.oddRequests.makeOne([...this.jobs.values()]);
  }

  private async repeat(periodS: number, act: () => Promise<unknown>): Promise<void> {
    const { clock } = this.options.runtime;
    while (!this.isStopped()) {
      await pause(clock, periodS * 1000, this.stopping.signal);
      if (!this.isStopped()) await act();
    }
  }

  private isStopped(): boolean {
    return this.stopping.signal.aborted;
  }
}

/** Some task of the job would still run for a while. */
function hasLongToGo({ plan, id }: JobConduct, state: WorldState): boolean {
  const { job, runS } = plan.program;
  const completed = state.completedTasks(id);
  const leftS = runS.filter((_, index) => !completed.has(index));
  return job.kind === 'service' || leftS.some((seconds) => seconds >= LONG_RUN_S);
}
