/** One run of a simulated process, with a runtime of its own; nothing of it acts once it has ended. */
import type { Network, Runtime } from '#wire';
import type { Chance } from '../random.js';
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
  private readonly chance: Chance;

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

  /** Runs a callback of this process: now, once it wakes if it is frozen, never if it has ended. */
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

  /** Stands still for so many seconds while its clocks run on; ends with the latest of several freezes. */
  freeze(forS: number): void {
    this.frozen = true;
    this.frozenUntilS = Math.max(this.frozenUntilS, this.world.now + forS);
    this.world.schedule(forS, () => {
      this.resume();
    });
  }

  /**
   * All that came in the meantime is delivered: in its order, or what came from the network before the
   * timers or after them, since an event loop may do either first.
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

/** Three orders, each as likely as the others. */
function orderAfterFreeze(waiting: DeferredCallback[], chance: Chance): DeferredCallback[] {
  const first = [null, 'timer', 'network'][chance.int(0, 2)];
  if (first === null) return waiting;
  const before = waiting.filter(({ source }) => source === first);
  const after = waiting.filter(({ source }) => source !== first);
  return [...before, ...after];
}
