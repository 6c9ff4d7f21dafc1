/**
 * The simulated world: one clock, one event queue and one seed for all random numbers of a run. The same seed gives
 * the same sequence of events.
 */
import { SeededRandom } from '../random.js';
import { Digest } from './digest.js';
import { EventQueue, QueuedEvent } from './event-queue.js';

/** An error that a callback of the simulation threw, or an unhandled rejection. */
export interface UncaughtError {
  atS: number;
  /** Process whose callback threw, `simulation` for the simulation itself, or `a promise` for a rejection. */
  where: string;
  error: unknown;
}

/** Executes events in the order of their times. */
export class World {
  readonly uncaught: UncaughtError[] = [];
  /** Number of events executed so far. */
  eventCount = 0;
  private readonly queue = new EventQueue();
  private readonly hash = new Digest();
  private time = 0;

  constructor(readonly seed: number) {}

  /** Simulated seconds since the start of the world. */
  get now(): number {
    return this.time;
  }

  /** Hash of all events so far; differs between runs with different events. */
  get digest(): string {
    return this.hash.hex();
  }

  /** Makes a random number generator for one purpose; draws from other generators don't affect it. */
  randomStream(purpose: string): SeededRandom {
    const mixed = new Digest();
    mixed.addNumber(this.seed);
    mixed.addText(purpose);
    return new SeededRandom(Number.parseInt(mixed.hex().slice(8), 16) | 0);
  }

  /** Adds a number to the digest of the run. */
  record(value: number): void {
    this.hash.addNumber(value);
  }

  /** Schedules a callback after `delayS` seconds; the callback may run program code. */
  schedule(delayS: number, run: () => void): QueuedEvent {
    return this.queue.push(this.time + Math.max(0, delayS), run, true);
  }

  /** Like `schedule`, for callbacks that run no program code and only change state of the simulation. */
  scheduleInternal(delayS: number, run: () => void): QueuedEvent {
    return this.queue.push(this.time + Math.max(0, delayS), run, false);
  }

  /** Executes all events up to and including the given time. */
  runUntil(untilS: number): Promise<void> {
    return new Promise((resolve) => {
      const step = () => {
        if (this.runNext(untilS)) {
          // All microtasks and ticks of this event have run by the next turn of the event loop.
          setImmediate(step);
          return;
        }
        this.time = untilS;
        resolve();
      };
      setImmediate(step);
    });
  }

  /** Executes events until one may have run program code. Returns false if none is due by the given time. */
  private runNext(untilS: number): boolean {
    for (;;) {
      const event = this.queue.peek();
      if (event === undefined || event.atS > untilS) return false;
      this.queue.pop();
      if (event.run === null) continue;
      this.execute(event, event.run);
      if (event.runsProgram) return true;
    }
  }

  private execute(event: QueuedEvent, run: () => void): void {
    this.time = event.atS;
    this.eventCount++;
    this.hash.addNumber(event.atS);
    this.hash.addNumber(event.sequence);
    try {
      run();
    } catch (error) {
      this.uncaught.push({ atS: this.time, where: 'simulation', error });
    }
  }
}
