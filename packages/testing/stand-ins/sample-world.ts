/** A simulated world for the tests of the stand-ins. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { CborClient, type Answer, type Runtime } from '#wire';
import {
  SimulatedHost,
  SimulatedNetwork,
  SimulatedProcess,
  World,
  type HostRole,
} from '../simulation/index.js';
import type { Observer, WorldEvent } from './events.js';

const STEP_S = 0.05;

/** A simulated network with a host for each process that a test starts. */
export class SampleWorld {
  readonly world: World;
  readonly network: SimulatedNetwork;
  /** The events that the stand-ins have reported so far. */
  readonly events: (WorldEvent & { atS: number })[] = [];
  readonly observer: Observer = (event) => this.events.push({ ...event, atS: this.world.now });

  constructor(seed = 1) {
    this.world = new World(seed);
    this.network = new SimulatedNetwork(this.world);
  }

  /** Starts a process on a new host and returns its runtime. */
  createRuntime(address: string, role: HostRole = 'users'): Runtime {
    return this.startHost(address, role).runtime;
  }

  startHost(address: string, role: HostRole): { runtime: Runtime; powerOff: () => void } {
    const host = this.network.addHost(new SimulatedHost(address, role, address, null));
    const skew = { initialS: 100, drift: 0, wallOffsetMs: 0 };
    const process = new SimulatedProcess(
      this.world,
      this.network,
      host,
      address,
      () => undefined,
      skew,
    );
    process.start();
    const powerOff = () => {
      process.crash('silent');
      host.powered = false;
    };
    const { incarnation } = process;
    if (incarnation === null) throw new Error(`the process on ${address} is not running`);
    return { runtime: incarnation.runtime, powerOff };
  }

  /** Creates a client on a new host. A call runs the world until the call is answered or times out. */
  createClient(
    from: string,
    to: string,
  ): (method: string, path: string, body?: unknown) => Promise<Answer> {
    const http = new CborClient(this.createRuntime(from), to);
    return (method, path, body) =>
      this.runUntilComplete(http.call(method, path, { timeoutMs: 5000, body }));
  }

  run(seconds: number): Promise<void> {
    return this.world.runUntil(this.world.now + seconds);
  }

  /** Runs the world until the promise has settled. */
  async runUntilComplete<T>(promise: Promise<T>, withinS = 120): Promise<T> {
    const progress = { finished: false };
    const record = () => (progress.finished = true);
    promise.then(record, record);
    const untilS = this.world.now + withinS;
    while (!progress.finished && this.world.now < untilS) {
      await this.run(STEP_S);
      await nextTurn();
    }
    if (!progress.finished) throw new Error(`not settled within ${withinS} s`);
    return promise;
  }
}
