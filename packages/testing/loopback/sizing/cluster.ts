import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { stringify } from 'smol-toml';
import type { OperatorFile } from '#controller';
import { decodeLeader, shardKey } from '#store';
import { nodeRuntime } from '#wire';
import { formatAddress } from '../../simulation/addresses.js';
import {
  controllerAddresses,
  platformSettings,
  type SharedSettings,
} from '../../simulation/cluster-settings.js';
import {
  CloudService,
  Fleet,
  GangRegistry,
  JobStorage,
  LateHeartbeats,
  LoadBalancer,
  type Observer,
  QUICK_BOOTS,
  RequestFault,
  StateService,
  Users,
} from '../../stand-ins/index.js';
import { LoopbackAddresses } from './addresses.js';
import { type ControllerCommand, ControllerProcess, NotRunning } from './controller-process.js';
import { machineType } from './machine-type.js';
import { HeartbeatLog } from './heartbeat-log.js';
import { RequestCounter } from './request-counter.js';
import { UserLog } from './user-log.js';

/** Signals that end the measuring process, with their numbers. */
const TERMINATION_SIGNALS = { SIGINT: 2, SIGTERM: 15 };
/** The exit code after a signal is this plus its number, as in a shell. */
const SIGNAL_EXIT_CODE_BASE = 128;
/** First number in the ids of `newJobId`; jobs of the workload have lower numbers. */
const FIRST_JOB_ID = 1_000_000;

/** What a cluster on the loopback consists of. */
export interface LoopbackClusterOptions {
  shared: SharedSettings;
  machines: number;
  command: ControllerCommand;
  /** Operators' settings of all controllers. */
  operator?: OperatorFile;
  /** Receives every event that the cluster itself observes. */
  observe?: Observer;
}

/** The leader of the shard and its term, as recorded in the state service. */
export interface Leadership {
  leader: string;
  term: number;
}

/** A cluster whose stand-ins for outside systems run in this process, and each controller in its own. */
export class LoopbackCluster {
  readonly addresses = new LoopbackAddresses(process.pid);
  readonly heartbeats = new HeartbeatLog();
  readonly stateRequests = new RequestCounter();
  readonly userLog = new UserLog();
  readonly controllers: ControllerProcess[];
  readonly fleet: Fleet;
  readonly repeatedCommands = new RequestFault(nodeRuntime);
  readonly users: Users;
  /** Number of tasks that were killed because a lease expired. */
  tasksKilled = 0;
  private jobIdsIssued = 0;
  readonly state: StateService;
  readonly cloud: CloudService;
  private readonly balancer: LoadBalancer;
  private readonly storage: JobStorage;
  /** Temporary directory for the controllers' settings; removed when the cluster is closed. */
  readonly directory = mkdtempSync(path.join(tmpdir(), 'sorreldale-sizing-'));

  constructor(readonly options: LoopbackClusterOptions) {
    const observer: Observer = (event) => {
      this.userLog.observe(event);
      if (event.kind === 'task-left' && event.cause === 'killed') this.tasksKilled++;
      options.observe?.(event);
    };
    this.storage = new JobStorage(observer);
    this.state = this.makeState(observer);
    this.fleet = this.makeFleet(observer);
    this.cloud = this.makeCloud();
    const controllers = controllerAddresses(options.shared, this.addresses);
    this.balancer = new LoadBalancer(nodeRuntime, controllers);
    this.users = new Users({
      runtime: nodeRuntime,
      balancer: formatAddress(this.addresses.balancer),
      nodes: controllers,
      storage: this.storage,
      observer,
    });
    this.controllers = controllers.map(({ name }, index) => this.makeController(name, index));
  }

  /** Starts the stand-ins, but no controller. Controllers are killed when this process exits. */
  async listen(): Promise<void> {
    process.once('exit', () => this.cleanUpOnExit());
    for (const [signal, number] of Object.entries(TERMINATION_SIGNALS)) {
      process.once(signal, () => process.exit(SIGNAL_EXIT_CODE_BASE + number));
    }
    const { addresses, state, cloud, balancer, controllers } = this;
    for (const { index } of controllers) await state.listen(addresses.state(index));
    await cloud.listen(addresses.cloud);
    await balancer.listen(addresses.balancer);
  }

  /** Kills the controllers and removes their files; called when this process exits. */
  private cleanUpOnExit(): void {
    for (const controller of this.controllers) controller.killNow();
    rmSync(this.directory, { recursive: true, force: true });
  }

  /** Stops the controllers and stand-ins and removes the temporary directory. */
  async close(): Promise<void> {
    this.users.stop();
    await Promise.all(this.controllers.map((controller) => controller.end('SIGTERM')));
    for (const worker of this.fleet.workers()) worker.powerOff();
    for (const service of [this.balancer, this.cloud, this.state]) service.close();
    rmSync(this.directory, { recursive: true });
  }

  /** An id that no other job has. */
  newJobId(): string {
    return `j-${FIRST_JOB_ID + this.jobIdsIssued++}`;
  }

  leadership(): Leadership | null {
    const entry = this.state.store.get(shardKey(0));
    if (entry === undefined) return null;
    return { leader: decodeLeader(entry.value).leader, term: entry.version };
  }

  /** The running controller that leads the shard, or null. */
  leader(): ControllerProcess | null {
    const leadership = this.leadership();
    const leader = this.controllers.find(({ name }) => name === leadership?.leader);
    return leader?.running ? leader : null;
  }

  /** The running leader; throws NotRunning if there is none. */
  requireLeader(): ControllerProcess {
    const leader = this.leader();
    if (leader === null) throw new NotRunning('no running controller leads the shard');
    return leader;
  }

  /** The running controllers that do not lead the shard. */
  standbys(): ControllerProcess[] {
    const leader = this.leader();
    return this.controllers.filter((controller) => controller.running && controller !== leader);
  }

  /** Number of requests from the controller to the state service so far. */
  stateRequestsOf({ index }: ControllerProcess): number {
    return this.stateRequests.count(this.addresses.state(index).port);
  }

  private makeController(name: string, index: number): ControllerProcess {
    const settings = platformSettings(this.options.shared, index, this.addresses);
    const file = path.join(this.directory, `${name}.toml`);
    writeFileSync(file, stringify(settings));
    return new ControllerProcess(name, index, file, this.command());
  }

  /** The command that starts a controller, with the operators' settings file if there are such settings. */
  private command(): ControllerCommand {
    const { command, operator } = this.options;
    if (operator === undefined) return command;
    const file = path.join(this.directory, 'operators.json');
    writeFileSync(file, JSON.stringify(operator));
    const config = command.command.at(-1)!;
    return { ...command, command: [...command.command.slice(0, -1), '--operator', file, config] };
  }

  private makeState(observer: Observer): StateService {
    const { rps, write_rps, value_kb, txn_ops } = this.options.shared.deployment.state;
    const limits = { rps, writeRps: write_rps, valueKb: value_kb, txnOps: txn_ops };
    return new StateService(this.stateRequests.watch(nodeRuntime), limits, observer);
  }

  private makeCloud(): CloudService {
    const { shared, machines } = this.options;
    const { zones, cloud } = shared.deployment;
    const types = [machineType(zones)];
    const limits = { rps: cloud.rps, listLagS: cloud.list_lag_s };
    const options = { types, capacity: [{ machines }], ...limits };
    const service = new CloudService(nodeRuntime, options, this.fleet);
    service.setBootProfile(QUICK_BOOTS);
    return service;
  }

  private makeFleet(observer: Observer): Fleet {
    const { workers } = this.options.shared.deployment;
    return new Fleet({
      workerEnvironment: {
        times: {
          heartbeatIntervalS: workers.report_s,
          leaseS: workers.lease_s,
          gangWaitS: workers.gang_wait_s,
          gangPeerS: workers.gang_peer_s,
        },
        controllers: controllerAddresses(this.options.shared, this.addresses),
        storage: this.storage,
        gangs: new GangRegistry(nodeRuntime),
        observer,
        lateHeartbeats: new LateHeartbeats(nodeRuntime),
        lateCommands: new RequestFault(nodeRuntime),
        repeatedCommands: this.repeatedCommands,
        heartbeatObserver: this.heartbeats,
      },
      addressOf: (number) => this.addresses.machine(number),
      hostFor: () => ({ runtime: nodeRuntime, powerOff: () => {} }),
    });
  }
}
