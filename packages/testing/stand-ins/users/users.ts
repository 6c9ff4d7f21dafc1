/** All users, who submit jobs through the load balancer, poll them and cancel some. */
import { setMaxListeners } from 'node:events';
import { pause, type Runtime } from '#wire';
import type { Observer } from '../events.js';
import type { JobStorage } from '../job-storage.js';
import type { ControllerAddress } from '../worker/index.js';
import type { WorldState } from '../world-state.js';
import { PollBursts } from './poll-bursts.js';
import { JobUser, type JobEvent } from './job-user.js';
import { OddRequests } from './odd-requests.js';
import type { PlannedJob } from './planned-job.js';
import { UserRequests } from './requests.js';

/** What all users share. */
export interface UsersOptions {
  runtime: Runtime;
  /** Address of the load balancer. */
  balancer: string;
  /** Addresses of the nodes, for bursts of polls without the load balancer. */
  nodes: ControllerAddress[];
  storage: JobStorage;
  observer: Observer;
}

const UNKNOWN_JOB_POLL_PERIOD_S = 20;
const ODD_REQUEST_PERIOD_S = 1;
const CANCEL_WITHIN_S = 0.2;
/** A job has a long remaining run if an unfinished task of it runs at least this long. */
const LONG_REMAINING_RUN_S = 30;
/** Share of jobs that are cancelled right after their acceptance while poll bursts are enabled. */
const CANCEL_ON_ACCEPTANCE_SHARE = 0.1;

/** Starts the users of all jobs; faults of the run switch unusual behaviour of users on and off. */
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
    // Each job that has not ended adds a listener.
    setMaxListeners(0, this.stopController.signal);
    storage.onJobComplete((job) => {
      this.handleJobCompletion(job);
    });
  }

  /** Starts the plan; its times are relative to this call. */
  start(plan: PlannedJob[]): void {
    for (const job of plan) {
      this.options.runtime.clock.setTimer(() => {
        this.submit(job);
      }, job.submitAtS * 1000);
    }
    void this.repeat(UNKNOWN_JOB_POLL_PERIOD_S, () => this.oddRequests.pollUnknownJob());
    void this.repeat(ODD_REQUEST_PERIOD_S, () => this.makeOddRequest());
  }

  /** Submits the job now and follows its plan from there. */
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

  /** Submits a job once its dependencies are accepted, or, if planned so, once they have ended. */
  private async runAfterDependencies(jobUser: JobUser): Promise<void> {
    const { submittedAfterDependenciesEnd, program } = jobUser.plan;
    const dependencies = program.job.awaits.map((id) => this.jobUsers.get(id));
    const known = dependencies.filter((each) => each !== undefined);
    await Promise.all(
      known.map((each) => (submittedAfterDependenciesEnd ? each.whenEnded() : each.whenAccepted())),
    );
    if (!this.isStopped()) await jobUser.run();
  }

  /** Stops all requests. */
  stop(): void {
    this.stopController.abort();
    for (const requests of [this.requests, ...this.nodeRequests]) requests.close();
  }

  /** Lets the user of the job cancel it now. */
  cancel(job: string): void {
    void this.jobUsers.get(job)?.cancel();
  }

  /**
   * Cancels up to `count` running jobs with a long remaining run, all within 0.2 s. Returns the
   * machines with tasks of these jobs.
   */
  cancelRunningJobs(count: number, state: WorldState): string[] {
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

  /** Sets the share of jobs that are cancelled at the moment of their completion; 0 by default. */
  setCancelAtEndShare(share: number): void {
    this.cancelAtEndShare = share;
  }

  /** Switches odd requests on or off, one each second. */
  setOddRequests(enabled: boolean): void {
    this.oddRequestsEnabled = enabled;
  }

  /** Switches on or off bursts of polls to all nodes when a job is accepted, ends or is cancelled. */
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

/** Whether the job is a service, or an unfinished task of it has a long run time. */
function hasLongRemainingRun({ plan, id }: JobUser, state: WorldState): boolean {
  const { job, runS } = plan.program;
  const completed = state.completedTasks(id);
  const remainingRunS = runS.filter((_, index) => !completed.has(index));
  return job.kind === 'service' || remainingRunS.some((seconds) => seconds >= LONG_REMAINING_RUN_S);
}
