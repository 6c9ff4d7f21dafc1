/** Starts a cluster and fills its fleet, which is the state that measurements start from. */
import { setTimeout as sleep } from 'node:timers/promises';
import { formatAddress } from '../../simulation/addresses.js';
import type { LoopbackCluster } from './cluster.js';
import { waitUntilHealthy } from './health.js';
import type { SizingOptions } from './options.js';
import { waitFor } from './wait.js';
import { planSizingWorkload } from './workload.js';

/** How long jobs are submitted: longer than any run of measurements. */
const WORKLOAD_LENGTH_S = 3600;
const START_TIMEOUT_S = 60;
const FILL_TIMEOUT_S = 180;

/** Starts all controllers and users; resolves when the full fleet has run for the settling time. */
export async function fillFleet(cluster: LoopbackCluster, options: SizingOptions): Promise<void> {
  await cluster.listen();
  for (const controller of cluster.controllers) controller.start();
  await waitUntilAllHealthy(cluster);
  const { machines, jobsPerMinute, settleS } = options;
  const teams = cluster.options.shared.deployment.teams.map(({ name }) => name);
  const workload = { machines, teams, jobsPerMinute, lengthS: WORKLOAD_LENGTH_S };
  cluster.users.start(planSizingWorkload(workload));
  await waitFor(`${machines} machines with a worker`, FILL_TIMEOUT_S, () =>
    cluster.fleet.workers().length >= machines ? true : null,
  );
  await sleep(settleS * 1000);
}

/** Resolves once all running controllers answer that they are healthy. */
export async function waitUntilAllHealthy(cluster: LoopbackCluster): Promise<void> {
  for (const { running, index, name } of cluster.controllers) {
    if (!running) continue;
    const address = cluster.addresses.service(index);
    await waitUntilHealthy(address, START_TIMEOUT_S, `${name} at ${formatAddress(address)}`);
  }
}
