/** Runs a piece of work now and then, with rests between the runs. */
import { Clock, every, Timer } from '#wire';

/** What is run, and how often. */
export interface PacerOptions {
  clock: Clock;
  /** Runs come at least this often. */
  periodMs: number;
  /** Least rest after a run. */
  minRestMs: number;
  /** Rest after a run as a multiple of its own length, if that is more. */
  restRatio: number;
  /** The work; true if there is more to do at once, without a rest. */
  run: () => boolean;
  /** Told of an error of the work, after which the next run comes as usual. */
  onError: (err: unknown) => void;
}

/**
 * Runs a piece of work once in each period and soon after each request. It rests after each run, however
 * long runs become, so that other work gets the larger part of the processor.
 */
export class Pacer {
  private ticks: Timer | null = null;
  /** The rest that is under way. */
  private rest: Timer | null = null;
  private running = false;
  private requested = false;

  constructor(private readonly options: PacerOptions) {}

  /** Runs from the next period on; `stop` ends it. */
  start(): void {
    const { clock, periodMs } = this.options;
    this.ticks = every(clock, periodMs, () => {
      this.request();
    });
  }

  /** Cancels all timers; nothing runs until the next start. */
  stop(): void {
    this.ticks?.cancel();
    this.rest?.cancel();
    this.ticks = this.rest = null;
  }

  /** Asks for a run: now, or at the end of the rest that is under way. */
  request(): void {
    if (this.ticks === null) return;
    this.requested = true;
    if (this.rest === null && !this.running) this.runWhileMore();
  }

  private runWhileMore(): void {
    const { clock, minRestMs, restRatio } = this.options;
    this.running = true;
    this.requested = false;
    let lastRunMs = 0;
    let more = true;
    while (more) {
      const startedAt = clock.now();
      more = this.runOnce();
      lastRunMs = (clock.now() - startedAt) * 1000;
    }
    this.running = false;
    if (this.ticks === null) return;
    const restMs = Math.max(minRestMs, restRatio * lastRunMs);
    this.rest = clock.setTimer(() => {
      this.endRest();
    }, restMs);
  }

  private runOnce(): boolean {
    try {
      return this.options.run();
    } catch (err) {
      this.options.onError(err);
      return false;
    }
  }

  private endRest(): void {
    this.rest = null;
    if (this.requested) this.runWhileMore();
  }
}
