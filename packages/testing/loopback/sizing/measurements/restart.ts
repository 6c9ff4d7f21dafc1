/** Measures a restart of all controllers at once: how long it takes and what it costs them. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LoopbackCluster } from '../cluster.js';
import { Figures } from '../figure.js';
import { waitUntilAllHealthy } from '../full-fleet.js';
import type { MeasuredFigures } from '../measurement.js';
import type { SizingOptions } from '../options.js';
import { WorkerReconnection } from '../worker-reconnection.js';
import { waitFor } from '../wait.js';

const ELECTION_TIMEOUT_S = 60;
const RECONNECTION_TIMEOUT_S = 120;
/** How long the controllers are observed from their start on. */
const WATCH_S = 10;
const COOLDOWN_S = 10;

/** Kills all controllers and starts them again at the same time. */
export async function measureRestart(
  cluster: LoopbackCluster,
  { downS }: SizingOptions,
): Promise<MeasuredFigures[]> {
  const { controllers, heartbeats } = cluster;
  const { leasesEnded } = heartbeats;
  const { tasksKilled } = cluster;
  await Promise.all(controllers.map((controller) => controller.end('SIGKILL')));
  await sleep(downS * 1000);
  const workers = new WorkerReconnection(cluster, null);
  for (const controller of controllers) controller.start();
  const figures = new Figures(cluster.options.shared.deployment.limits);
  await watchReconnection(cluster, workers, figures);
  figures
    .count("workers' leases that ran out", heartbeats.leasesEnded - leasesEnded)
    .count('tasks killed', cluster.tasksKilled - tasksKilled);
  await waitUntilAllHealthy(cluster);
  await sleep(COOLDOWN_S * 1000);
  return [{ measurement: 'restart', figures: figures.all }];
}

async function watchReconnection(
  cluster: LoopbackCluster,
  workers: WorkerReconnection,
  figures: Figures,
): Promise<void> {
  const sinceStartS = (atMs: number) => (atMs - workers.startedAtMs) / 1000;
  const leader = await waitFor('a new leader', ELECTION_TIMEOUT_S, () => cluster.leader());
  figures
    .seconds('from the start to the claim', sinceStartS(performance.now()))
    .processorS('owner: until its claim', leader.processorS());
  const first = await workers.first(RECONNECTION_TIMEOUT_S);
  figures
    .seconds('from the start to the first answered report', sinceStartS(first.atMs))
    .processorS('owner: until its first answered report', first.processorS);
  const all = await workers.all(RECONNECTION_TIMEOUT_S);
  figures
    .seconds('from the start until all workers were answered', sinceStartS(all.atMs))
    .processorS('owner: until all workers were answered', all.processorS);
  await sleep(Math.max(0, workers.startedAtMs + WATCH_S * 1000 - performance.now()));
  const others = cluster.standbys().map((controller) => controller.processorS());
  figures
    .processorS(`owner: in its first ${WATCH_S} s`, leader.processorS())
    .megabytes('owner: greatest memory', leader.memory().peakMb);
  if (others.length > 0) {
    figures.processorS(`others: in their first ${WATCH_S} s, most`, Math.max(...others));
  }
}
