/** Measures a failover: how long it takes after a leader is killed, and what it costs the new leader. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LoopbackCluster } from '../cluster.js';
import type { ControllerProcess } from '../controller-process.js';
import { Figures } from '../figure.js';
import { waitUntilAllHealthy } from '../full-fleet.js';
import type { MeasuredFigures } from '../measurement.js';
import { WorkerReconnection } from '../worker-reconnection.js';
import { waitFor } from '../wait.js';

const ELECTION_TIMEOUT_S = 60;
const RECONNECTION_TIMEOUT_S = 120;
/** How long the new leader is observed after its election. */
const WATCH_S = 10;
/** Pause after a measurement, before the next one. */
const COOLDOWN_S = 10;

/** Kills the leader and observes its successor. */
export async function measureTakeOver(cluster: LoopbackCluster): Promise<MeasuredFigures[]> {
  const former = cluster.requireLeader();
  const figures = new Figures(cluster.options.shared.deployment.limits);
  const { leasesEnded } = cluster.heartbeats;
  const { tasksKilled } = cluster;
  const workers = new WorkerReconnection(cluster, former.name);
  await former.end('SIGKILL');
  await watchSuccessor(cluster, workers, figures);
  figures
    .count("workers' leases that ran out", cluster.heartbeats.leasesEnded - leasesEnded)
    .count('tasks killed', cluster.tasksKilled - tasksKilled);
  former.start();
  await waitUntilAllHealthy(cluster);
  await sleep(COOLDOWN_S * 1000);
  return [{ measurement: 'take-over', figures: figures.all }];
}

async function watchSuccessor(
  cluster: LoopbackCluster,
  workers: WorkerReconnection,
  figures: Figures,
): Promise<void> {
  const leader = await waitFor('a new leader', ELECTION_TIMEOUT_S, () => cluster.leader());
  const electedAtMs = performance.now();
  const processorS = leader.processorS();
  const requests = cluster.stateRequestsOf(leader);
  figures.seconds('from the end to the claim', (electedAtMs - workers.startedAtMs) / 1000);
  const first = await workers.first(RECONNECTION_TIMEOUT_S);
  figures
    .seconds('from the end to the first answered report', (first.atMs - workers.startedAtMs) / 1000)
    .processorS('from the claim to the first answered report', first.processorS - processorS)
    .count('requests to the state service from the claim to then', first.stateRequests - requests);
  await addUsage(cluster, leader, { electedAtMs, processorS, workers }, figures);
}

interface Election {
  electedAtMs: number;
  /** Processor time that the new leader had used at its election, in seconds. */
  processorS: number;
  workers: WorkerReconnection;
}

async function addUsage(
  cluster: LoopbackCluster,
  leader: ControllerProcess,
  { electedAtMs, processorS, workers }: Election,
  figures: Figures,
): Promise<void> {
  leader.resetPeakMemory();
  const all = await workers.all(RECONNECTION_TIMEOUT_S);
  figures
    .seconds(
      'from the end until all workers were answered',
      (all.atMs - workers.startedAtMs) / 1000,
    )
    .processorS('from the claim until all workers were answered', all.processorS - processorS);
  const leftMs = electedAtMs + WATCH_S * 1000 - performance.now();
  await sleep(Math.max(0, leftMs));
  figures
    .processorS(`in the first ${WATCH_S} s after the claim`, leader.processorS() - processorS)
    .megabytes('greatest memory', leader.memory().peakMb);
}
