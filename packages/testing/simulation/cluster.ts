/** One simulated cluster: controllers, the services around them, and what observes them. */
import type { Runtime } from '#wire';
import {
  CloudService,
  JobStorage,
  LoadBalancer,
  RuleChecker,
  StateService,
  Users,
  type Observer,
} from '../stand-ins/index.js';
import {
  BALANCER_ADDRESS,
  CHECKER_HOST,
  CLOUD_ADDRESS,
  formatAddress,
  SHARED_SERVICES_HOST,
  STATE_ADDRESS,
  USERS_HOST,
} from './addresses.js';
import { controllerAddresses, type ClusterSettings } from './cluster-settings.js';
import { CostCounter } from './costs.js';
import {
  type ControllerMaker,
  makeControllers,
  makeControllerOfThisBuild,
  type SimulatedController,
} from './controllers.js';
import { Machines } from './machines.js';
import { SimulatedHost, type HostRole } from './host.js';
import { SimulatedNetwork } from './network.js';
import { MigrationPhases } from './migration-phases.js';
import { LeadershipHistory } from './leadership-history.js';
import { ReplicaPhases } from './replica-phases.js';
import { RequestLog } from './request-log.js';
import { ReplicaService } from './replica-service.js';
import { SimulatedProcess } from './process.js';
import { Timeline } from './timeline.js';
import { World } from './world.js';

/**
 * Controllers, the services that they use and the users in one simulated world, with a checker of the rules of
 * the protocol.
 */
export class Cluster {
  readonly world: World;
  readonly network: SimulatedNetwork;
  readonly timeline: Timeline;
  readonly checker: RuleChecker;
  readonly storage: JobStorage;
  readonly state: StateService;
  readonly cloud: CloudService;
  readonly machines: Machines;
  readonly controllers: SimulatedController[];
  /** Requests that the controllers have answered. */
  readonly requests: RequestLog;
  /** Counts of requests, frames and timers of each controller, by the address of its host. */
  readonly costs = new CostCounter();
  readonly balancer: LoadBalancer;
  readonly users: Users;
  readonly leadership: LeadershipHistory;
  readonly moves: MigrationPhases;
  readonly replicaPhases: ReplicaPhases;
  /** Simulated requests to replicas of several members, and their answers. */
  readonly replicas: ReplicaService;
  private readonly observer: Observer;

  constructor(
    readonly settings: ClusterSettings,
    seed: number,
    make: ControllerMaker = makeControllerOfThisBuild,
  ) {
    this.world = new World(seed);
    this.network = new SimulatedNetwork(this.world);
    this.timeline = new Timeline(this.world);
    this.requests = new RequestLog(this.world);
    this.checker = this.makeChecker();
    this.observer = (event) => {
      this.timeline.observe(event);
      this.costs.observe(event);
      this.checker.observe(event);
      this.moves.observe(event);
      this.replicas.observe(event);
    };
    this.storage = new JobStorage(this.observer);
    this.replicaPhases = new ReplicaPhases(this.world);
    this.state = this.makeState();
    this.machines = this.makeMachines();
    this.cloud = this.makeCloud();
    const { world, network, requests, costs } = this;
    const onLogLine = (line: string) => {
      this.replicaPhases.observe(line);
    };
    const services = { world, network, cluster: settings, requests, costs, make, onLogLine };
    this.controllers = makeControllers(services);
    this.balancer = this.makeBalancer();
    this.users = this.makeUsers();
    this.leadership = new LeadershipHistory(this.world, (key) => this.state.store.get(key) ?? null);
    this.replicas = new ReplicaService(this);
    this.moves = new MigrationPhases(() => this.leadership.current()?.leader ?? null);
  }

  /** Starts the services and all controllers. */
  async start(): Promise<void> {
    await this.state.listen(STATE_ADDRESS);
    await this.cloud.listen(CLOUD_ADDRESS);
    await this.balancer.listen(BALANCER_ADDRESS);
    for (const controller of this.controllers) controller.process.start();
    this.replicas.start();
  }

  /** Starts a process that is always up, on a new host with an exact clock, and returns its runtime. */
  serviceRuntime(name: string, role: HostRole, address: string): Runtime {
    const host = this.network.addHost(new SimulatedHost(name, role, address, null));
    const skew = { initialS: 0, drift: 0, wallOffsetMs: 0 };
    const process = new SimulatedProcess(
      this.world,
      this.network,
      host,
      name,
      () => undefined,
      skew,
    );
    return process.start().runtime;
  }

  private makeState(): StateService {
    const { rps, write_rps, value_kb, txn_ops } = this.settings.deployment.state;
    const runtime = this.serviceRuntime('state', 'state', STATE_ADDRESS.host);
    const limits = { rps, writeRps: write_rps, valueKb: value_kb, txnOps: txn_ops };
    const counted = this.costs.watchServer('stateRequests', runtime);
    return new StateService(counted, limits, this.observer);
  }

  private makeMachines(): Machines {
    return new Machines({
      world: this.world,
      network: this.network,
      cluster: this.settings,
      storage: this.storage,
      observer: this.observer,
      costs: this.costs,
      runtime: this.serviceRuntime('machine-room', 'users', SHARED_SERVICES_HOST),
    });
  }

  private makeCloud(): CloudService {
    const { machineTypes, capacity, deployment } = this.settings;
    const { rps, list_lag_s } = deployment.cloud;
    const runtime = this.serviceRuntime('cloud', 'cloud', CLOUD_ADDRESS.host);
    const options = { types: machineTypes, capacity, rps, listLagS: list_lag_s };
    const counted = this.costs.watchServer('cloudRequests', runtime);
    return new CloudService(counted, options, this.machines.fleet);
  }

  private makeBalancer(): LoadBalancer {
    const runtime = this.serviceRuntime('balancer', 'balancer', BALANCER_ADDRESS.host);
    return new LoadBalancer(runtime, controllerAddresses(this.settings));
  }

  /** Makes a group of users that submits jobs independently of other groups. */
  makeUsers(): Users {
    return new Users({
      runtime: this.serviceRuntime('users', 'users', USERS_HOST),
      balancer: formatAddress(BALANCER_ADDRESS),
      nodes: controllerAddresses(this.settings),
      storage: this.storage,
      observer: this.observer,
    });
  }

  private makeChecker(): RuleChecker {
    const { teams, workers } = this.settings.deployment;
    const { clock } = this.serviceRuntime('checker', 'users', CHECKER_HOST);
    return new RuleChecker(clock, {
      teams: teams.map(({ name, cpus_max, gpus_max }) => ({
        name,
        cpus: cpus_max,
        gpus: gpus_max,
      })),
      cancelS: workers.cancel_s,
    });
  }
}
