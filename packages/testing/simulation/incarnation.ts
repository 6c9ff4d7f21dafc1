/** One run of a simulated process, with a separate runtime. Its callbacks no longer run once it has ended. */
import type { Network, Runtime } from '#wire';
import type { SeededRandom } from '../random.js';
import { type CallbackSource, type ClockSkew, SimulatedClock } from './clock.js';
import type { SimulatedHost } from './host.js';
import type { World } from './world.js';

interface DeferredCallback {
  callback: () => void;
  source: CallbackSource;
}

/** One run of a process, from its start to its crash. */
export class Incarnation {
  alive = true;
  readonly runtime: Runtime;
  private frozenUntilS = -Infinity;
  private frozen = false;
  private readonly deferred: DeferredCallback[] = [];
  private readonly chance: SeededRandom;

  constructor(
    private readonly world: World,
    makeNetwork: (incarnation: Incarnation) => Network,
    readonly host: SimulatedHost,
    readonly name: string,
    skew: ClockSkew,
  ) {
    this.chance = world.randomStream(`process ${name} ${world.now}`);
    this.runtime = {
      clock: new SimulatedClock(world, this, skew),
      network: makeNetwork(this),
      random: () => this.chance.next(),
    };
  }

  /** Runs a callback of this process at once; after the freeze if it is frozen, and never if it has ended. */
  deliver(callback: () => void, source: CallbackSource = 'network'): void {
    if (!this.alive) return;
    if (this.frozen) {
      this.deferred.push({ callback, source });
      return;
    }
    try {
      callback();
    } catch (error) {
      this.world.uncaught.push({ atS: this.world.now, where: this.name, error });
    }
  }

  /** Runs no callbacks for `forS` seconds while the clocks go on. If freezes overlap, the latest end counts. */
  freeze(forS: number): void {
    this.frozen = true;
    this.frozenUntilS = Math.max(this.frozenUntilS, this.world.now + forS);
    this.world.schedule(forS, () => {
      this.resume();
    });
  }

  /**
   * Delivers all callbacks that were deferred during the freeze: in order of arrival, timers first or network
   * events first, since a real event loop may process either kind first.
   */
  private resume(): void {
    if (!this.frozen || this.world.now < this.frozenUntilS) return;
    this.frozen = false;
    const waiting = this.deferred.splice(0);
    for (const { callback, source } of orderAfterFreeze(waiting, this.chance)) {
      this.world.schedule(0, () => {
        this.deliver(callback, source);
      });
    }
  }

  end(): void {
    this.alive = false;
    this.deferred.length = 0;
  }
}

/** Picks one of three orders with equal probability: order of arrival, timers first, or network events first. */
function orderAfterFreeze(waiting: DeferredCallback[], chance: SeededRandom): DeferredCallback[] {
  const first = [null, 'timer', 'network'][chance.int(0, 2)];
  if (first === null) return waiting;
  const before = waiting.filter(({ source }) => source === first);
  const after = waiting.filter(({ source }) => source !== first);
  return [...before, ...after];
}
