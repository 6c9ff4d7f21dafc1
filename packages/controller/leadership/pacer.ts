/** Runs a function periodically and on request, with a minimum pause between runs. */
import { Clock, every, Timer } from '#wire';

/** The function to run and the limits on how often it runs. */
export interface PacerOptions {
  clock: Clock;
  /** Period of the runs that occur without a request. */
  periodMs: number;
  /** Minimum rest after a run. */
  minRestMs: number;
  /** Rest after a run as a multiple of the duration of that run, if that is more than `minRestMs`. */
  restRatio: number;
  /** The function to run. Returns true if it must run again immediately, without a rest. */
  run: () => boolean;
  /** Called with an error that `run` threw. Later runs are not affected. */
  onError: (err: unknown) => void;
}

/**
 * Runs a function once in each period and soon after each request. The rest after a run grows with the duration of
 * the run, so that other work gets the larger part of the processor however long the runs become.
 */
export class Pacer {
  private ticks: Timer | null = null;
  /** Timer that ends the current rest; null outside of a rest. */
  private rest: Timer | null = null;
  private running = false;
  private requested = false;

  constructor(private readonly options: PacerOptions) {}

  /** Starts periodic runs; the first one comes after one period. */
  start(): void {
    const { clock, periodMs } = this.options;
    this.ticks = every(clock, periodMs, () => {
      this.request();
    });
  }

  /** Cancels all timers. Nothing runs until the next call of `start`. */
  stop(): void {
    this.ticks?.cancel();
    this.rest?.cancel();
    this.ticks = this.rest = null;
  }

  /** Requests a run: immediately, or at the end of the current rest. */
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
