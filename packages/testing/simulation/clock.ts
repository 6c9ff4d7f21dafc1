/** The clocks of simulated processes, which drift and start at times of their own. */
import type { Clock, Timer } from '#wire';
import type { World } from './world.js';

/** Where a callback of a process comes from. */
export type CallbackSource = 'timer' | 'network';

/** Runs the callbacks of a process. */
export interface CallbackTarget {
  /** Runs the callback now, once the process wakes if it is frozen, never if it has ended. */
  deliver(callback: () => void, source: CallbackSource): void;
}

/** Time of day at the start of every simulated world, in milliseconds since 1970. */
const WORLD_START_MS = Date.UTC(2026, 0, 1);
/** Longest delay that Node's timers take; a longer one, or none, counts as one millisecond. */
const MAX_DELAY_MS = 2 ** 31 - 1;
/** Largest drift of a steady clock that the protocol allows. */
const MAX_DRIFT = 0.0005;
const MAX_INITIAL_S = 1e5;

/** How the clocks of one process differ from the simulated time. */
export interface ClockSkew {
  /** Reading of the steady clock at the start of the world, in seconds. */
  zeroS: number;
  /** Share by which the steady clock runs fast. */
  drift: number;
  /** Milliseconds by which the time of day is ahead. */
  wallOffsetMs: number;
}

/** Clock and timers of one incarnation of a process; they are dead once the incarnation has ended. */
export class SimulatedClock implements Clock {
  constructor(
    private readonly world: World,
    private readonly process: CallbackTarget,
    private readonly skew: ClockSkew,
  ) {}

  now(): number {
    return this.skew.zeroS + this.world.now * (1 + this.skew.drift);
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

/** Clocks within the bounds of the protocol; `maxWallOffsetMs` bounds the time of day. */
export function drawSkew(world: World, processName: string, maxWallOffsetMs: number): ClockSkew {
  const chance = world.randomStream(`clock ${processName}`);
  return {
    zeroS: chance.next() * MAX_INITIAL_S,
    drift: chance.next() * MAX_DRIFT,
    wallOffsetMs: (2 * chance.next() - 1) * maxWallOffsetMs,
  };
}
