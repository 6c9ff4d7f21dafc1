/** What the sudden end of the owner costs: until another has claimed the part, and answers all workers. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LoopbackCluster } from '../cluster.js';
import type { ControllerProcess } from '../controller-process.js';
import { Figures } from '../figure.js';
import { allHealthy } from '../full-fleet.js';
import type { Measured } from '../measurement.js';
import { ReturnOfWorkers } from '../return-of-workers.js';
import { waitFor } from '../wait.js';

const CLAIM_WITHIN_S = 60;
const RETURN_WITHIN_S = 120;
/** How long the successor is watched from its claim on. */
const WATCH_S = 10;
/** From one take-over to the next. */
const REST_S = 10;

/** Kills the owner and watches its successor. */
export async function measureTakeOver(cluster: LoopbackCluster): Promise<Measured[]> {
  const former = cluster.requireOwner();
  const figures = new Figures(cluster.options.shared.deployment.limits);
  const { leasesEnded } = cluster.reports;
  const { tasksKilled } = cluster;
  const workers = new ReturnOfWorkers(cluster, former.name);
  await former.end('SIGKILL');
  await watchSuccessor(cluster, workers, figures);
  figures
    .count("workers' leases that ran out", cluster.reports.leasesEnded - leasesEnded)
    .count('tasks killed', cluster.tasksKilled - tasksKilled);
  former.start();
  await allHealthy(cluster);
  await sleep(REST_S * 1000);
  return [{ measurement: 'take-over', figures: figures.all }];
}

async function watchSuccessor(
  cluster: LoopbackCluster,
  workers: ReturnOfWorkers,
  figures: Figures,
): Promise<void> {
  const owner = await waitFor('a successor', CLAIM_WITHIN_S, () => cluster.owner());
  const claimedAtMs = performance.now();
  const processorS = owner.processorS();
  const requests = cluster.stateRequestsOf(owner);
  figures.seconds('from the end to the claim', (claimedAtMs - workers.sinceMs) / 1000);
  const first = await workers.first(RETURN_WITHIN_S);
  figures
    .seconds('from the end to the first answered report', (first.atMs - workers.sinceMs) / 1000)
    .processorS('from the claim to the first answered report', first.processorS - processorS)
    .count('requests to the state service from the claim to then', first.stateRequests - requests);
  await addUse(cluster, owner, { claimedAtMs, processorS, workers }, figures);
}

interface Claim {
  claimedAtMs: number;
  /** Processor time that the successor had used by then. */
  processorS: number;
  workers: ReturnOfWorkers;
}

async function addUse(
  cluster: LoopbackCluster,
  owner: ControllerProcess,
  { claimedAtMs, processorS, workers }: Claim,
  figures: Figures,
): Promise<void> {
  owner.resetPeakMemory();
  const all = await workers.all(RETURN_WITHIN_S);
  figures
    .seconds('from the end until all workers were answered', (all.atMs - workers.sinceMs) / 1000)
    .processorS('from the claim until all workers were answered', all.processorS - processorS);
  const leftMs = claimedAtMs + WATCH_S * 1000 - performance.now();
  await sleep(Math.max(0, leftMs));
  figures
    .processorS(`in the first ${WATCH_S} s after the claim`, owner.processorS() - processorS)
    .megabytes('greatest memory', owner.memory().peakMb);
}
