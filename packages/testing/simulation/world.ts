/**
 * The simulated world: one clock, one queue of events and one source of chance for everything that
 * takes part in a run. The same seed gives the same sequence of events.
 */
import { Chance } from '../random.js';
import { Digest } from './digest.js';
import { EventQueue, QueuedEvent } from './event-queue.js';

/** Something that a callback of the simulated programs threw. */
export interface UncaughtError {
  atS: number;
  /** Process whose callback threw, or `simulation` for the simulation itself. */
  where: string;
  error: unknown;
}

/** Carries out events in the order of their times. */
export class World {
  readonly uncaught: UncaughtError[] = [];
  /** Events carried out so far. */
  eventCount = 0;
  private readonly queue = new EventQueue();
  private readonly hash = new Digest();
  private time = 0;

  constructor(readonly seed: number) {}

  /** Simulated seconds since the start of the world. */
  get now(): number {
    return this.time;
  }

  /** Differs between two runs as soon as their events do. */
  get digest(): string {
    return this.hash.hex();
  }

  /** A source of chance for one purpose, independent of how much others draw from theirs. */
  randomStream(purpose: string): Chance {
    const mixed = new Digest();
    mixed.addNumber(this.seed);
    mixed.addText(purpose);
    return new Chance(Number.parseInt(mixed.hex().slice(8), 16) | 0);
  }

  /** Adds a number to the digest of the run. */
  record(value: number): void {
    this.hash.addNumber(value);
  }

  /** Calls back after so many seconds; the callback may run program code. */
  schedule(delayS: number, run: () => void): QueuedEvent {
    return this.queue.push(this.time + Math.max(0, delayS), run, true);
  }

  /** As `schedule`, for callbacks that only change the simulation's own state. */
  scheduleInternal(delayS: number, run: () => void): QueuedEvent {
    return this.queue.push(this.time + Math.max(0, delayS), run, false);
  }

  /** Carries out all events up to and including that time. */
  runUntil(untilS: number): Promise<void> {
    return new Promise((resolve) => {
      const step = () => {
        if (this.runNext(untilS)) {
          // By the next turn of the event loop all microtasks and ticks of this event have run.
          setImmediate(step);
          return;
        }
        this.time = untilS;
        resolve();
      };
      setImmediate(step);
    });
  }

  /** Carries out events until one may have run program code; false if none is left before the time. */
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
