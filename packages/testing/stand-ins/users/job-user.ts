/** The user of one job, who submits it, polls it and may cancel it. */
import { jobToWire, pause, type Runtime } from '#wire';
import { uniform, type Span } from '../distributions.js';
import type { Observer } from '../events.js';
import type { PlannedJob } from './planned-job.js';
import { isAcceptance, isFinal, type UserResponse, type UserRequests } from './requests.js';

const MIN_RETRY_DELAY_S = 1;
/** A longer Retry-After is cut to this. */
const MAX_RETRY_DELAY_S = 30;
const SUBMIT_RETRY_LIMIT_S = 60;
const POLL_PERIOD_S = 5;
/** The time between two polls is shorter or longer than the period by up to this share. */
const POLL_JITTER = 0.1;
/** Share of jobs that are polled once more after their end, and the delay of this poll. */
const LATE_POLL_SHARE = 0.3;
const LATE_POLL_AFTER_S: Span = [5, 60];

/** What an answer told the user of a job; bursts of polls and cancellations follow it at once. */
export type JobEvent = 'accepted' | 'ended' | 'cancelled';

/** What the user of a job needs from the run. */
export interface JobUserContext {
  runtime: Runtime;
  requests: UserRequests;
  observer: Observer;
  onJobEvent: (job: string, event: JobEvent) => void;
  signal: AbortSignal;
}

/** Makes all requests about one job, from its first submission to the last poll. */
export class JobUser {
  private readonly milestones = new Milestones();
  accepted = false;
  /** The user was told that the job is done or cancelled. */
  ended = false;
  cancelRequested = false;

  constructor(
    readonly plan: PlannedJob,
    private readonly context: JobUserContext,
  ) {}

  get id(): string {
    return this.plan.program.job.id;
  }

  /** Resolves once the user is told that the job is accepted. */
  whenAccepted(): Promise<void> {
    return this.milestones.accepted.promise;
  }

  /** Resolves once the user is told that the job is done or cancelled. */
  whenEnded(): Promise<void> {
    return this.milestones.ended.promise;
  }

  /** Submits the job, then polls it until it has ended. */
  async run(): Promise<void> {
    const { job } = this.plan.program;
    this.context.observer({ kind: 'job-submitted', id: job.id, job, runnable: true });
    if (!(await this.submit())) return;
    this.accepted = true;
    this.milestones.accepted.resolve();
    this.context.onJobEvent(this.id, 'accepted');
    const { cancelAfterS, repeatAfterS } = this.plan;
    if (cancelAfterS !== null) void this.runAfter(cancelAfterS, () => this.cancel());
    if (repeatAfterS !== null) void this.runAfter(repeatAfterS, () => this.resubmit());
    await this.pollUntilEnded();
    if (this.context.runtime.random() < LATE_POLL_SHARE) {
      await this.runAfter(this.drawUniform(LATE_POLL_AFTER_S), () =>
        this.context.requests.poll(this.id),
      );
    }
  }

  /**
   * Requests the cancellation and repeats the request until an answer says that the job has ended.
   * Further calls do nothing.
   */
  async cancel(): Promise<void> {
    if (this.cancelRequested) return;
    this.cancelRequested = true;
    this.context.observer({ kind: 'cancel-asked', job: this.id });
    while (!this.stopped) {
      const response = await this.context.requests.cancel(this.id);
      if (isFinal(response)) {
        this.recordEnd(response);
        return;
      }
      await this.sleep(retryDelayS(response));
    }
  }

  /** Submits the job once more, in whatever phase it is. */
  async resubmit(): Promise<void> {
    await this.context.requests.submit(this.id, jobToWire(this.plan.program.job));
  }

  private async submit(): Promise<boolean> {
    const { runtime, requests } = this.context;
    const body = jobToWire(this.plan.program.job);
    const untilS = runtime.clock.now() + SUBMIT_RETRY_LIMIT_S;
    while (!this.stopped) {
      const response = await requests.submit(this.id, body);
      if (isAcceptance(response)) return true;
      const refused = response?.status === 400 || response?.status === 422;
      if (refused || runtime.clock.now() >= untilS) return false;
      await this.sleep(retryDelayS(response));
    }
    return false;
  }

  private async pollUntilEnded(): Promise<void> {
    while (!this.hasEndedOrStopped()) {
      const jitter = 1 + POLL_JITTER * (2 * this.context.runtime.random() - 1);
      await this.sleep(POLL_PERIOD_S * jitter);
      if (this.hasEndedOrStopped()) return;
      const response = await this.context.requests.poll(this.id);
      if (isFinal(response)) this.recordEnd(response);
    }
  }

  private recordEnd(response: UserResponse | null): void {
    if (this.ended) return;
    this.ended = true;
    this.milestones.ended.resolve();
    this.context.onJobEvent(this.id, response?.phase === 'aborted' ? 'cancelled' : 'ended');
  }

  private hasEndedOrStopped(): boolean {
    return this.ended || this.stopped;
  }

  private get stopped(): boolean {
    return this.context.signal.aborted;
  }

  private async runAfter(seconds: number, action: () => Promise<unknown>): Promise<void> {
    await this.sleep(seconds);
    if (!this.stopped) await action();
  }

  private sleep(seconds: number): Promise<void> {
    return pause(this.context.runtime.clock, seconds * 1000, this.context.signal);
  }

  private drawUniform(span: Span): number {
    return uniform(() => this.context.runtime.random(), span);
  }
}

/** A promise that is resolved from outside. */
class Deferred {
  resolve!: () => void;
  readonly promise = new Promise<void>((resolve) => (this.resolve = resolve));
}

class Milestones {
  readonly accepted = new Deferred();
  readonly ended = new Deferred();
}

function retryDelayS(response: UserResponse | null): number {
  return Math.max(MIN_RETRY_DELAY_S, Math.min(MAX_RETRY_DELAY_S, response?.retryAfterS ?? 0));
}
