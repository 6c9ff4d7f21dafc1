/** Simulated controllers, each a process on a separate host. */
import { Controller, type Log, type Settings } from '#controller';
import type { Runtime } from '#wire';
import { controllerName, serviceAddress } from './addresses.js';
import { drawSkew } from './clock.js';
import { ControllerLog } from './controller-log.js';
import { controllerSettings, zoneOfController, type ClusterSettings } from './cluster-settings.js';
import type { CostCounter } from './costs.js';
import { SimulatedHost } from './host.js';
import type { SimulatedNetwork } from './network.js';
import { SimulatedProcess } from './process.js';
import type { RequestLog } from './request-log.js';
import type { World } from './world.js';

/** A controller of the simulated cluster, with its process and its log. */
export interface SimulatedController {
  index: number;
  name: string;
  host: SimulatedHost;
  process: SimulatedProcess;
  log: ControllerLog;
}

/** Makes one controller for a simulated process to run. */
export type ControllerMaker = (
  runtime: Runtime,
  settings: Settings,
  log: Log,
) => Pick<Controller, 'run'>;

/** Makes a controller of this build. */
export const makeControllerOfThisBuild: ControllerMaker = (runtime, settings, log) =>
  new Controller(runtime, settings, log);

/** Objects that all controllers of a cluster share. */
export interface ControllerServices {
  world: World;
  network: SimulatedNetwork;
  cluster: ClusterSettings;
  /** Records the requests that the controllers answer. */
  requests: RequestLog;
  /** Counts requests, frames and timers of the controllers. */
  costs: CostCounter;
  make: ControllerMaker;
  /** Called with each line that a controller logs. */
  onLogLine: (text: string) => void;
}

/** Makes the controllers of a cluster without starting them. */
export function makeControllers(services: ControllerServices): SimulatedController[] {
  const indexes = Array.from({ length: services.cluster.controllers }, (_, index) => index);
  return indexes.map((index) => makeController(services, index));
}

function makeController(services: ControllerServices, index: number): SimulatedController {
  const { world, network, cluster, requests, costs, make, onLogLine } = services;
  const name = controllerName(index);
  const zone = zoneOfController(cluster, index);
  const host = new SimulatedHost(name, 'controller', serviceAddress(index).host, zone);
  host.socketLimit = cluster.deployment.limits.sockets;
  network.addHost(host);
  const log = new ControllerLog(world, cluster.logLevel, onLogLine);
  const settings = controllerSettings(cluster, index);
  const program = (runtime: Runtime) => {
    const neverCancelled = new AbortController().signal;
    const watched = requests.watch(name, costs.watchController(host.address, runtime));
    const controller = make(watched, settings, log.logger());
    controller.run(neverCancelled).catch((error: unknown) => {
      world.uncaught.push({ atS: world.now, where: name, error });
    });
  };
  const skew = drawSkew(world, name, cluster.deployment.clock_off_ms);
  const process = new SimulatedProcess(world, network, host, name, program, skew);
  return { index, name, host, process, log };
}
