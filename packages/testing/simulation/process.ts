/** Processes of the simulated world, each of which may run many times. */
import type { Runtime } from '#wire';
import type { ClockSkew } from './clock.js';
import type { SimulatedHost } from './host.js';
import { Incarnation } from './incarnation.js';
import { type CrashVisibility, IncarnationNetwork, type SimulatedNetwork } from './network.js';
import type { World } from './world.js';

/** What a process runs; called again for each incarnation. */
export type Program = (runtime: Runtime) => void;

/** A process, which may be started, crashed, restarted and frozen. */
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
    const makeNetwork = (run: Incarnation) => new IncarnationNetwork(network, run);
    const incarnation = new Incarnation(world, makeNetwork, host, name, skew);
    this.incarnation = incarnation;
    incarnation.deliver(() => {
      this.program(incarnation.runtime);
    });
    return incarnation;
  }

  /** Ends the process without any clean-up of its own. */
  crash(visibility: CrashVisibility = 'reset'): void {
    const { incarnation } = this;
    if (incarnation === null) return;
    this.incarnation = null;
    incarnation.end();
    this.network.closeSocketsOf(incarnation, visibility);
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
