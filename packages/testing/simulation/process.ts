/** Processes of the simulated world. Each process may run many times, as one incarnation after another. */
import type { Runtime } from '#wire';
import type { ClockSkew } from './clock.js';
import type { SimulatedHost } from './host.js';
import { Incarnation } from './incarnation.js';
import { type CrashVisibility, IncarnationNetwork, type SimulatedNetwork } from './network.js';
import type { World } from './world.js';

/** Entry point of a process; called for each incarnation. */
export type Program = (runtime: Runtime) => void;

/** A process that tests can start, crash, restart and freeze. */
export class SimulatedProcess {
  /** Current incarnation; null while the process is down. */
  incarnation: Incarnation | null = null;
  /** Number of times that the process has started. */
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

  /** Starts the process unless it is running; returns the current incarnation. */
  start(): Incarnation {
    if (this.incarnation !== null) return this.incarnation;
    this.starts++;
    const { world, network, host, name, skew } = this;
    const makeNetwork = (run: Incarnation) => new IncarnationNetwork(network, run);
    const incarnation = new Incarnation(world, makeNetwork, host, name, skew);
    this.incarnation = incarnation;
    incarnation.deliver(() => {
      this.program(incarnation.runtime);
    });
    return incarnation;
  }

  /** Ends the process without giving it a chance to clean up. */
  crash(visibility: CrashVisibility = 'reset'): void {
    const { incarnation } = this;
    if (incarnation === null) return;
    this.incarnation = null;
    incarnation.end();
    this.network.closeSocketsOf(incarnation, visibility);
  }

  /** Crashes the process and starts it again after `downS` seconds. */
  restart(downS: number, visibility: CrashVisibility = 'reset'): void {
    this.crash(visibility);
    this.world.schedule(downS, () => this.start());
  }

  /** Suspends the process for `forS` seconds; has no effect if it is down. */
  freeze(forS: number): void {
    this.incarnation?.freeze(forS);
  }
}
