/** Measures the leader and the standbys in the steady state, without faults. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LoopbackCluster } from '../cluster.js';
import { Figures } from '../figure.js';
import type { MeasuredFigures } from '../measurement.js';
import { Observation, type ObservedUsage } from '../observation.js';
import type { SizingOptions } from '../options.js';

/** Observes the leader for `seconds`. */
export async function measureLeader(
  cluster: LoopbackCluster,
  { seconds }: SizingOptions,
): Promise<MeasuredFigures[]> {
  const [observed] = await observe([new Observation(cluster, cluster.requireLeader())], seconds);
  const figures = new Figures(cluster.options.shared.deployment.limits);
  figures
    .cores('processor', observed.cores)
    .cores('of that without the kernel', observed.userCores)
    .cores('of that other threads', observed.cores - observed.mainThreadCores)
    .processorMs('processor by report', (observed.cores / observed.answeredHeartbeats) * 1000)
    .rate('answered reports', observed.answeredHeartbeats);
  addRates(figures, observed);
  addMemory(figures, observed);
  return [{ measurement: 'owner', figures: figures.all }];
}

/** Observes all standbys for `seconds`; the figures are means over the standbys. */
export async function measureStandby(
  cluster: LoopbackCluster,
  { seconds }: SizingOptions,
): Promise<MeasuredFigures[]> {
  const watched = cluster.standbys().map((each) => new Observation(cluster, each));
  const all = await observe(watched, seconds);
  const figures = new Figures(cluster.options.shared.deployment.limits);
  const mean = meanOf(all);
  figures
    .cores('processor', mean.cores)
    .cores('of that without the kernel', mean.userCores)
    .cores('of that other threads', mean.cores - mean.mainThreadCores)
    .cores('processor, the busiest', Math.max(...all.map(({ cores }) => cores)));
  addRates(figures, mean);
  addMemory(figures, mean);
  return [{ measurement: 'standby', figures: figures.all }];
}

async function observe(observations: Observation[], seconds: number): Promise<ObservedUsage[]> {
  await sleep(seconds * 1000);
  return observations.map((observation) => observation.end());
}

/** Figure names of the process statistics that controllers log. */
const STATISTICS_LABELS: Record<string, string> = {
  userRequestsPerS: "users' requests",
  // Name of `userRequestsPerS` in earlier builds (`--sources`).
  questionsPerS: "users' requests",
  peerFramesPerS: 'frames from peers',
  roundsPerS: 'rounds',
  roundMsPerS: 'milliseconds in rounds',
  stateChangesPerS: 'changes at the state service',
};

function addRates(figures: Figures, { stateRequests, processStatistics }: ObservedUsage): void {
  figures.rate('requests to the state service', stateRequests);
  for (const [name, text] of Object.entries(STATISTICS_LABELS)) {
    if (name in processStatistics) figures.rate(text, processStatistics[name]);
  }
}

function addMemory(
  figures: Figures,
  { residentMb, peakMb, processStatistics }: ObservedUsage,
): void {
  figures.megabytes('memory', residentMb).megabytes('greatest memory', peakMb);
  if ('heapMb' in processStatistics) figures.megabytes('heap', processStatistics.heapMb);
}

function meanOf(all: ObservedUsage[]): ObservedUsage {
  const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
  const by = (name: Exclude<keyof ObservedUsage, 'processStatistics'>) =>
    mean(all.map((each) => each[name]));
  const names = Object.keys(all[0].processStatistics);
  const processStatistics = names.map((name) => [
    name,
    mean(all.map((each) => each.processStatistics[name] ?? 0)),
  ]);
  return {
    seconds: by('seconds'),
    cores: by('cores'),
    userCores: by('userCores'),
    mainThreadCores: by('mainThreadCores'),
    answeredHeartbeats: by('answeredHeartbeats'),
    notRenewedHeartbeats: by('notRenewedHeartbeats'),
    stateRequests: by('stateRequests'),
    residentMb: by('residentMb'),
    peakMb: by('peakMb'),
    processStatistics: Object.fromEntries(processStatistics) as Record<string, number>,
  };
}
