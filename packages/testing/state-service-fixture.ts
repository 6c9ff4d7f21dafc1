/** A test fixture: a state service and processes that use it, in a simulation. */
import { type Runtime, StateApi } from '#wire';
import { StateClient, type StateLimits } from '#store';
import {
  formatAddress,
  type HostRole,
  SimulatedHost,
  SimulatedNetwork,
  SimulatedProcess,
  STATE_ADDRESS,
  World,
} from './simulation/index.js';
import { StateService } from './stand-ins/index.js';

const NO_SKEW = { initialS: 0, drift: 0, wallOffsetMs: 0 };
/** Interval in seconds at which `runUntil` checks its condition. */
const POLL_INTERVAL_S = 0.01;

/** A state service, and hosts whose processes reach it over a simulated network. */
export class StateServiceFixture {
  readonly network: SimulatedNetwork;
  readonly service: StateService;

  private constructor(
    readonly world: World,
    private readonly limits: StateLimits,
  ) {
    this.network = new SimulatedNetwork(world);
    const runtime = this.addHost('state', 'state', STATE_ADDRESS.host);
    this.service = new StateService(runtime, { ...limits, valueKb: limits.valueBytes / 1024 });
  }

  static async start(limits: StateLimits, seed = 1): Promise<StateServiceFixture> {
    const state = new StateServiceFixture(new World(seed), limits);
    await state.service.listen(STATE_ADDRESS);
    return state;
  }

  get now(): number {
    return this.world.now;
  }

  /** Adds a host with a controller process and returns the runtime of the process. */
  controller(address = '10.0.0.1'): Runtime {
    return this.addHost(`controller at ${address}`, 'controller', address);
  }

  /** Creates a client that may use a share of the service's rate limits. */
  client(
    runtime: Runtime,
    { share = 1, timeoutMs = 1000, limits = this.limits } = {},
  ): StateClient {
    const api = new StateApi(runtime, formatAddress(STATE_ADDRESS), timeoutMs);
    return new StateClient(runtime.clock, api, limits, share);
  }

  /** Advances the simulation; throws the first uncaught error of a simulated callback. */
  async run(seconds: number): Promise<void> {
    await this.world.runUntil(this.world.now + seconds);
    if (this.world.uncaught.length > 0) throw this.world.uncaught[0].error;
  }

  /** Advances the simulation until the condition holds; false if it does not hold within `withinS` seconds. */
  async runUntil(condition: () => boolean, withinS: number): Promise<boolean> {
    const end = this.world.now + withinS;
    while (!condition() && this.world.now < end) await this.run(POLL_INTERVAL_S);
    return condition();
  }

  private addHost(name: string, role: HostRole, address: string): Runtime {
    const host = this.network.addHost(new SimulatedHost(name, role, address, null));
    const program = () => {};
    return new SimulatedProcess(this.world, this.network, host, name, program, NO_SKEW).start()
      .runtime;
  }
}
