/** All users: they submit jobs through the load balancer, ask about them and cancel some. */
import { setMaxListeners } from 'node:events';
import { pause, type Runtime } from '#wire';
import type { Observer } from '../events.js';
import type { JobStorage } from '../job-storage.js';
import type { ControllerAddress } from '../worker/index.js';
import type { WorldState } from '../world-state.js';
import { PollBursts } from './poll-bursts.js';
import { JobUser, type JobEvent } from './job-conduct.js';
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

const UNKNOWN_JOB_POLL_PERIOD_S = 20;
const ODD_REQUEST_PERIOD_S = 1;
const CANCEL_WITHIN_S = 0.2;
/** A job with a task of such a run time has long to go, in seconds. */
const LONG_REMAINING_RUN_S = 30;
/** Of the jobs that are polled in bursts, this share is cancelled right after its acceptance. */
const CANCEL_ON_ACCEPTANCE_SHARE = 0.1;

/** Starts the users of all jobs, and makes their requests follow the faults of the run. */
export class Users {
  private readonly jobUsers = new Map<string, JobUser>();
  private readonly requests: UserRequests;
  private readonly nodeRequests: UserRequests[];
  private readonly pollBursts: PollBursts;
  private readonly oddRequests: OddRequests;
  private readonly stopController = new AbortController();
  private pollBurstsEnabled = false;
  private oddRequestsEnabled = false;
  private cancelAtEndShare = 0;

  constructor(private readonly options: UsersOptions) {
    const { runtime, balancer, nodes, storage, observer } = options;
    this.requests = new UserRequests(runtime, balancer, observer);
    this.nodeRequests = nodes.map(({ address }) => new UserRequests(runtime, address, observer));
    this.pollBursts = new PollBursts(runtime, this.nodeRequests);
    this.oddRequests = new OddRequests(runtime, this.requests, observer);
    // Each job under way listens to it.
    setMaxListeners(0, this.stopController.signal);
    storage.onJobComplete((job) => {
      this.handleJobCompletion(job);
    });
  }

  /** Begins with the plan; its times count from now. */
  start(plan: PlannedJob[]): void {
    for (const job of plan) {
      this.options.runtime.clock.setTimer(() => {
        this.submit(job);
      }, job.submitAtS * 1000);
    }
    void this.repeat(UNKNOWN_JOB_POLL_PERIOD_S, () => this.oddRequests.pollUnknownJob());
    void this.repeat(ODD_REQUEST_PERIOD_S, () => this.makeOddRequest());
  }

  /** A user submits the job now and goes on by the plan. */
  submit(plan: PlannedJob): void {
    if (this.isStopped()) return;
    this.options.storage.upload(plan.program);
    const jobUser = new JobUser(plan, {
      runtime: this.options.runtime,
      requests: this.requests,
      observer: this.options.observer,
      onJobEvent: (job, event) => {
        this.handleJobEvent(job, event);
      },
      signal: this.stopController.signal,
    });
    this.jobUsers.set(jobUser.id, jobUser);
    void this.runAfterDependencies(jobUser);
  }

  /** A job with dependencies is submitted once these are accepted, or once they are over. */
  private async runAfterDependencies(jobUser: JobUser): Promise<void> {
    const { submittedAfterDependenciesEnd, program } = jobUser.plan;
    const dependencies = program.job.awaits.map((id) => this.jobUsers.get(id));
    const known = dependencies.filter((each) => each !== undefined);
    await Promise.all(
      known.map((each) => (submittedAfterDependenciesEnd ? each.whenEnded() : each.whenAccepted())),
    );
    if (!this.isStopped()) await jobUser.run();
  }

  /** Asks and submits no more. */
  stop(): void {
    this.stopController.abort();
    for (const requests of [this.requests, ...this.nodeRequests]) requests.close();
  }

  /** The user of the job cancels it now. */
  cancel(job: string): void {
    void this.jobUsers.get(job)?.cancel();
  }

  /**
   * Cancels up to so many jobs that run and have long to go, within a fifth of a second; returns the
   * machines that they are on.
   */
  cancelNow(count: number, state: WorldState): string[] {
    const chosen = [...this.jobUsers.values()]
      .filter((job) => job.accepted && !job.ended && !job.cancelRequested)
      .filter((job) => state.started(job.id).length > 0 && hasLongRemainingRun(job, state))
      .map((job) => ({ job, order: this.options.runtime.random() }))
      .sort((first, second) => first.order - second.order)
      .slice(0, count)
      .map(({ job }) => job);
    for (const job of chosen) {
      const delayMs = this.options.runtime.random() * CANCEL_WITHIN_S * 1000;
      this.options.runtime.clock.setTimer(() => void job.cancel(), delayMs);
    }
    return chosen.flatMap((job) => state.started(job.id).map((place) => place.machine));
  }

  /** That share of the jobs that end is cancelled at the moment of the end; 0 ends it. */
  setCancelAtEnd(share: number): void {
    this.cancelAtEndShare = share;
  }

  /** Requests that no program would make, each second. */
  setOddRequests(enabled: boolean): void {
    this.oddRequestsEnabled = enabled;
  }

  /** All nodes are asked within milliseconds after a job was accepted, ended or cancelled. */
  setPollBursts(enabled: boolean): void {
    this.pollBurstsEnabled = enabled;
  }

  private handleJobEvent(job: string, event: JobEvent): void {
    if (!this.pollBurstsEnabled) return;
    this.pollInBurst(job);
    const cancelOnAcceptance = this.options.runtime.random() < CANCEL_ON_ACCEPTANCE_SHARE;
    if (event === 'accepted' && cancelOnAcceptance) this.cancel(job);
  }

  private handleJobCompletion(job: string): void {
    if (this.pollBurstsEnabled) this.pollInBurst(job);
    if (this.options.runtime.random() < this.cancelAtEndShare) this.cancel(job);
  }

  private pollInBurst(job: string): void {
    const jobUser = this.jobUsers.get(job);
    if (jobUser) this.pollBursts.poll(jobUser.plan.program.job);
  }

  private async makeOddRequest(): Promise<void> {
    if (this.oddRequestsEnabled) await this.oddRequests.sendOne([...this.jobUsers.values()]);
  }

  private async repeat(periodS: number, action: () => Promise<unknown>): Promise<void> {
    const { clock } = this.options.runtime;
    while (!this.isStopped()) {
      await pause(clock, periodS * 1000, this.stopController.signal);
      if (!this.isStopped()) await action();
    }
  }

  private isStopped(): boolean {
    return this.stopController.signal.aborted;
  }
}

/** Some task of the job would still run for a while. */
function hasLongRemainingRun({ plan, id }: JobUser, state: WorldState): boolean {
  const { job, runS } = plan.program;
  const completed = state.completedTasks(id);
  const remainingRunS = runS.filter((_, index) => !completed.has(index));
  return job.kind === 'service' || remainingRunS.some((seconds) => seconds >= LONG_REMAINING_RUN_S);
}
