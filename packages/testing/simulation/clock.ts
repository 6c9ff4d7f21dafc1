/** Clocks of simulated processes. Each has its own drift and its own reading at the start of the world. */
import type { Clock, Timer } from '#wire';
import type { World } from './world.js';

/** Trigger of a callback of a simulated process: one of its timers, or an event of the simulated network. */
export type CallbackSource = 'timer' | 'network';

/** Runs the callbacks of a process. */
export interface CallbackTarget {
  /** Runs the callback at once; after the freeze if the process is frozen, and never if it has ended. */
  deliver(callback: () => void, source: CallbackSource): void;
}

/** Time of day at the start of every simulated world, in milliseconds since 1970. */
const WORLD_START_MS = Date.UTC(2026, 0, 1);
/** Longest delay that Node's timers accept. A longer delay, or one below 1 ms, becomes 1 ms. */
const MAX_DELAY_MS = 2 ** 31 - 1;
/** Largest drift of a monotonic clock that the protocol allows, as a fraction. */
const MAX_DRIFT = 0.0005;
/** Upper bound of a monotonic clock's reading at the start of the world, in seconds. */
const MAX_INITIAL_S = 1e5;

/** How the clocks of one process differ from the simulated time. */
export interface ClockSkew {
  /** Reading of the monotonic clock at the start of the world, in seconds. */
  initialS: number;
  /** Fraction by which the monotonic clock runs fast. */
  drift: number;
  /** Milliseconds by which the wall clock is ahead. */
  wallOffsetMs: number;
}

/** Clock and timers of one incarnation of a process. No timer fires once the incarnation has ended. */
export class SimulatedClock implements Clock {
  constructor(
    private readonly world: World,
    private readonly process: CallbackTarget,
    private readonly skew: ClockSkew,
  ) {}

  now(): number {
    return this.skew.initialS + this.world.now * (1 + this.skew.drift);
  }

  wallMs(): number {
    return Math.floor(WORLD_START_MS + this.world.now * 1000 + this.skew.wallOffsetMs);
  }

  setTimer(callback: () => void, delayMs: number): Timer {
    let cancelled = false;
    const fire = () => {
      if (!cancelled) callback();
    };
    const inRange = delayMs >= 1 && delayMs <= MAX_DELAY_MS;
    const delayS = (inRange ? Math.ceil(delayMs) : 1) / 1000 / (1 + this.skew.drift);
    const event = this.world.schedule(delayS, () => {
      this.process.deliver(fire, 'timer');
    });
    return {
      cancel: () => {
        cancelled = true;
        event.run = null;
      },
    };
  }
}

/** Draws a clock skew within the bounds of the protocol; `maxWallOffsetMs` bounds the offset of the wall clock. */
export function drawSkew(world: World, processName: string, maxWallOffsetMs: number): ClockSkew {
  const chance = world.randomStream(`clock ${processName}`);
  return {
    initialS: chance.next() * MAX_INITIAL_S,
    drift: chance.next() * MAX_DRIFT,
    wallOffsetMs: (2 * chance.next() - 1) * maxWallOffsetMs,
  };
}
