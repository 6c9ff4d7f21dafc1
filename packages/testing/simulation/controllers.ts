import { Controller } from '#controller';
import type { Runtime } from '#wire';
import { controllerName, serviceAddress } from './addresses.js';
import { drawSkew } from './clock.js';
import { ControllerLog } from './controller-log.js';
import { controllerSettings, zoneOfController, type ClusterSettings } from './cluster-settings.js';
import { SimulatedHost, SimulatedNetwork } from './network.js';
import { SimulatedProcess } from './process.js';
import type { World } from './world.js';

/** A controller of the simulated cluster: its process and what it has logged. */
export interface SimulatedController {
  index: number;
  name: string;
  host: SimulatedHost;
  process: SimulatedProcess;
  log: ControllerLog;
}

/** Makes the controllers of a cluster; none is started yet. */
export function makeControllers(
  world: World,
  network: SimulatedNetwork,
  cluster: ClusterSettings,
): SimulatedController[] {
  const indexes = Array.from({ length: cluster.controllers }, (_, index) => index);
  return indexes.map((index) => makeController(world, network, cluster, index));
}

function makeController(
  world: World,
  network: SimulatedNetwork,
  cluster: ClusterSettings,
  index: number,
): SimulatedController {
  const name = controllerName(index);
  const zone = zoneOfController(cluster, index);
  const host = new SimulatedHost(name, 'controller', serviceAddress(index).host, zone);
  network.addHost(host);
  const log = new ControllerLog(world, cluster.logLevel);
  const settings = controllerSettings(cluster, index);
  const program = (runtime: Runtime) => {
    const forever = new AbortController().signal;
    new Controller(runtime, settings, log.logger()).run(forever).catch((error: unknown) => {
      world.uncaught.push({ atS: world.now, where: name, error });
    });
  };
  const skew = drawSkew(world, name, cluster.deployment.clock_off_ms);
  const process = new SimulatedProcess(world, network, host, name, program, skew);
  return { index, name, host, process, log };
}
