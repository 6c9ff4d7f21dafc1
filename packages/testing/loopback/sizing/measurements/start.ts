/** Measures the start of one controller while others run, with the records of a full fleet. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LoopbackCluster } from '../cluster.js';
import type { ControllerProcess } from '../controller-process.js';
import { Figures } from '../figure.js';
import { waitUntilHealthy } from '../health.js';
import type { MeasuredFigures } from '../measurement.js';

const HEALTHY_TIMEOUT_S = 60;
/** Downtime of the controller, long enough for its peers to notice. */
const DOWN_S = 2;
/** How long the controller is observed from its start on. */
const WATCH_S = 10;

/** Kills a standby, or the only controller, and starts it again. */
export async function measureStart(cluster: LoopbackCluster): Promise<MeasuredFigures[]> {
  const controller = cluster.standbys().at(-1) ?? cluster.controllers[0];
  await controller.end('SIGKILL');
  await sleep(DOWN_S * 1000);
  const figures = new Figures(cluster.options.shared.deployment.limits);
  await watchStart(cluster, controller, figures);
  return [{ measurement: 'start', figures: figures.all }];
}

async function watchStart(
  cluster: LoopbackCluster,
  controller: ControllerProcess,
  figures: Figures,
): Promise<void> {
  const requestsBefore = cluster.stateRequestsOf(controller);
  const { startedAtMs } = controller.start();
  const address = cluster.addresses.service(controller.index);
  const { atMs } = await waitUntilHealthy(address, HEALTHY_TIMEOUT_S, controller.name);
  figures
    .processorS('to the first healthy answer', controller.processorS())
    .seconds('from exec to the first healthy answer', (atMs - startedAtMs) / 1000)
    .count(
      'requests to the state service until then',
      cluster.stateRequestsOf(controller) - requestsBefore,
    )
    .megabytes('memory then', controller.memory().nowMb);
  await sleep(startedAtMs + WATCH_S * 1000 - performance.now());
  figures
    .processorS(`in its first ${WATCH_S} s`, controller.processorS())
    .megabytes(`greatest memory in its first ${WATCH_S} s`, controller.memory().peakMb);
}
