/**
 * Processes of the simulated world. A process may run many times; each run is an incarnation with a
 * runtime of its own, and nothing of an incarnation acts once it has ended.
 */
import type { Runtime } from '#wire';
import type { Chance } from '../random.js';
import { ClockSkew, SimulatedClock } from './clock.js';
import type { SimulatedHost } from './host.js';
import { IncarnationNetwork, type SimulatedNetwork } from './network.js';
import type { World } from './world.js';

/** What a process runs; called anew for each incarnation. */
export type Program = (runtime: Runtime) => void;

/** What the others see of a process that has crashed. */
export type CrashVisibility =
  /** Its host resets its connections. */
  | 'reset'
  /** Nothing, until they write to it again. */
  | 'silent';

/** Where a callback of a process comes from. */
export type CallbackSource = 'timer' | 'network';

interface WaitingCallback {
  callback: () => void;
  source: CallbackSource;
}

/** One run of a process, from its start to its crash. */
export class Incarnation {
  alive = true;
  readonly runtime: Runtime;
  private frozenUntilS = -Infinity;
  private frozen = false;
  private readonly waiting: WaitingCallback[] = [];
  private readonly chance: Chance;

  constructor(
    private readonly world: World,
    network: SimulatedNetwork,
    readonly host: SimulatedHost,
    readonly name: string,
    skew: ClockSkew,
  ) {
    this.chance = world.chance(`process ${name} ${world.now}`);
    this.runtime = {
      clock: new SimulatedClock(world, this, skew),
      network: new IncarnationNetwork(network, this),
      random: () => this.chance.next(),
    };
  }

  /** Runs a callback of this process: now, once it wakes if it is frozen, never if it has ended. */
  deliver(callback: () => void, source: CallbackSource = 'network'): void {
    if (!this.alive) return;
    if (this.frozen) {
      this.waiting.push({ callback, source });
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
    this.world.schedule(forS, () => this.wake());
  }

  /**
   * All that came in the meantime is delivered: in its order, or what came from the network before the
   * timers or after them, since an event loop may do either first.
   */
  private wake(): void {
    if (!this.frozen || this.world.now < this.frozenUntilS) return;
    this.frozen = false;
    const waiting = this.waiting.splice(0);
    for (const { callback, source } of inWakingOrder(waiting, this.chance)) {
      this.world.schedule(0, () => this.deliver(callback, source));
    }
  }

  end(): void {
    this.alive = false;
    this.waiting.length = 0;
  }
}

/** Three orders, each as likely as the others. */
function inWakingOrder(waiting: WaitingCallback[], chance: Chance): WaitingCallback[] {
  const first = [null, 'timer', 'network'][chance.int(0, 2)];
  if (first === null) return waiting;
  const before = waiting.filter(({ source }) => source === first);
  const after = waiting.filter(({ source }) => source !== first);
  return [...before, ...after];
}

export class SimulatedProcess {
  /** The current run, null while the process is down. */
  incarnation: Incarnation | null = null;
  /** How often the process has started. */
  starts = 0;

  constructor(
    private readonly world: World,
    private readonly network: SimulatedNetwork,
    readonly host: SimulatedHost,
    readonly name: string,
    private readonly program: Program,
    private readonly skew: ClockSkew,
  ) {}

  get running(): boolean {
    return this.incarnation !== null;
  }

  /** Starts unless it runs already; returns the current run. */
  start(): Incarnation {
    if (this.incarnation !== null) return this.incarnation;
    this.starts++;
    const { world, network, host, name, skew } = this;
    const incarnation = new Incarnation(world, network, host, name, skew);
    this.incarnation = incarnation;
    incarnation.deliver(() => this.program(incarnation.runtime));
    return incarnation;
  }

  /** Ends the process without any clean-up of its own. */
  crash(visibility: CrashVisibility = 'reset'): void {
    const { incarnation } = this;
    if (incarnation === null) return;
    this.incarnation = null;
    incarnation.end();
    this.network.closeAllOf(incarnation, visibility);
  }

  /** Crashes and starts again after so many seconds. */
  restart(downS: number, visibility: CrashVisibility = 'reset'): void {
    this.crash(visibility);
    this.world.schedule(downS, () => this.start());
  }

  /** Stands still for so many seconds. */
  freeze(forS: number): void {
    this.incarnation?.freeze(forS);
  }
}
