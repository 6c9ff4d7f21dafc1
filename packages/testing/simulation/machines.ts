/** Machines of a simulated cluster and their workers. */
import {
  Fleet,
  GangRegistry,
  LateHeartbeats,
  RequestFault,
  type JobStorage,
  type MachineHost,
  type Observer,
  type ProvisionedMachine,
  type Worker,
  type WorkerEnvironment,
} from '../stand-ins/index.js';
import type { Runtime } from '#wire';
import { workerAddress } from './addresses.js';
import { controllerAddresses, type ClusterSettings } from './cluster-settings.js';
import { drawSkew } from './clock.js';
import type { CostCounter } from './costs.js';
import { SimulatedHost } from './host.js';
import type { SimulatedNetwork } from './network.js';
import { SimulatedProcess } from './process.js';
import type { World } from './world.js';

/** A provisioned machine that is up. */
export interface SimulatedMachine {
  name: string;
  zone: string;
  spot: boolean;
  host: SimulatedHost;
  worker: Worker;
}

/** Objects that all machines of a cluster share. */
export interface MachinesOptions {
  world: World;
  network: SimulatedNetwork;
  cluster: ClusterSettings;
  storage: JobStorage;
  observer: Observer;
  /** Counts the requests that controllers send to workers directly. */
  costs: CostCounter;
  /** Runtime of a process that outlives all machines. */
  runtime: Runtime;
}

/** Gives each machine that the cloud provisions a simulated host on which its worker runs. */
export class Machines {
  readonly fleet: Fleet;
  readonly lateHeartbeats: LateHeartbeats;
  readonly lateCommands: RequestFault;
  readonly repeatedCommands: RequestFault;
  private readonly hosts = new Map<string, SimulatedHost>();

  constructor(private readonly options: MachinesOptions) {
    this.lateHeartbeats = new LateHeartbeats(options.runtime);
    this.lateCommands = new RequestFault(options.runtime);
    this.repeatedCommands = new RequestFault(options.runtime);
    this.fleet = new Fleet({
      workerEnvironment: this.surroundings(),
      addressOf: workerAddress,
      hostFor: (machine) => this.hostFor(machine),
      ...options.cluster.faultyMachines,
    });
  }

  /** Machines that are up, in the order in which they came up. */
  running(): SimulatedMachine[] {
    return this.fleet.workers().map((worker) => this.describe(worker));
  }

  get(name: string): SimulatedMachine | undefined {
    const worker = this.fleet.worker(name);
    return worker && this.describe(worker);
  }

  private describe(worker: Worker): SimulatedMachine {
    const { name, zone, spot } = worker.facts;
    const host = this.hosts.get(name);
    if (!host) throw new Error(`machine ${name} has no host`);
    return { name, zone, spot, host, worker };
  }

  private hostFor({ name, zone, address }: ProvisionedMachine): MachineHost {
    const { world, network, cluster, costs } = this.options;
    const host = network.addHost(new SimulatedHost(name, 'worker', address.host, zone));
    this.hosts.set(name, host);
    const skew = drawSkew(world, name, cluster.deployment.clock_off_ms);
    const process = new SimulatedProcess(world, network, host, name, () => undefined, skew);
    const powerOff = () => {
      host.powered = false;
      process.crash('silent');
    };
    const { runtime } = process.start();
    return { runtime: costs.watchServer('directCommands', runtime), powerOff };
  }

  private surroundings(): WorkerEnvironment {
    const { cluster, runtime, storage, observer } = this.options;
    const { workers } = cluster.deployment;
    return {
      times: {
        heartbeatIntervalS: workers.report_s,
        leaseS: workers.lease_s,
        gangWaitS: workers.gang_wait_s,
        gangPeerS: workers.gang_peer_s,
      },
      controllers: controllerAddresses(cluster),
      storage,
      gangs: new GangRegistry(runtime),
      observer,
      lateHeartbeats: this.lateHeartbeats,
      lateCommands: this.lateCommands,
      repeatedCommands: this.repeatedCommands,
    };
  }
}
