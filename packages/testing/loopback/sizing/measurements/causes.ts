/**
 * Measures what a leader and a standby spend their processor time on. Both run as separate modules and with
 * Node's profiler, which uses processor time itself, so the shares are more reliable than their sum.
 */
import { mkdirSync } from 'node:fs';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { CAUSES } from '../causes.js';
import type { LoopbackCluster } from '../cluster.js';
import type { ControllerProcess } from '../controller-process.js';
import { Figures } from '../figure.js';
import { waitUntilAllHealthy } from '../full-fleet.js';
import type { MeasuredFigures } from '../measurement.js';
import { Observation, type ObservedUsage } from '../observation.js';
import type { SizingOptions } from '../options.js';
import { profileClockUs, readProfile, sharesByCause, type TimeSpan } from '../profile.js';
import { WorkerReconnection } from '../worker-reconnection.js';
import { profiledRunCommand } from '../sources.js';

const RECONNECTION_TIMEOUT_S = 120;
/** Delay from the start of the last controller to the measurement. */
const SETTLE_S = 20;

interface ProfiledUsage {
  controller: ControllerProcess;
  directory: string;
  observed: ObservedUsage;
  span: TimeSpan;
}

/** Restarts all controllers so that the first one becomes the leader, and profiles it and the second. */
export async function measureCauses(
  cluster: LoopbackCluster,
  { seconds }: SizingOptions,
): Promise<MeasuredFigures[]> {
  const [first, second] = cluster.controllers;
  await startProfiled(cluster);
  await sleep(SETTLE_S * 1000);
  const watched = [first, second].filter((each) => each !== undefined);
  const observations = watched.map((each) => new Observation(cluster, each));
  const fromUs = profileClockUs();
  await sleep(seconds * 1000);
  const span = { fromUs, untilUs: profileClockUs() };
  const usages = observations.map((observation) => ({
    controller: observation.controller,
    directory: profileDirectory(cluster, observation.controller),
    observed: observation.end(),
    span,
  }));
  const measured: MeasuredFigures[] = [];
  for (const usage of usages) measured.push(await figuresOf(cluster, usage));
  for (const { controller } of usages) controller.start();
  await waitUntilAllHealthy(cluster);
  return measured;
}

async function startProfiled(cluster: LoopbackCluster): Promise<void> {
  const [first, second, ...others] = cluster.controllers;
  await Promise.all(cluster.controllers.map((controller) => controller.end('SIGTERM')));
  const workers = new WorkerReconnection(cluster, null);
  startWithProfile(cluster, first);
  await workers.all(RECONNECTION_TIMEOUT_S);
  if (second !== undefined) startWithProfile(cluster, second);
  for (const controller of others) controller.start();
  await waitUntilAllHealthy(cluster);
}

function startWithProfile(cluster: LoopbackCluster, controller: ControllerProcess): void {
  const directory = profileDirectory(cluster, controller);
  mkdirSync(directory, { recursive: true });
  controller.start(profiledRunCommand(cluster.options.command.command, directory));
}

function profileDirectory(cluster: LoopbackCluster, { name }: ControllerProcess): string {
  return path.join(cluster.directory, `profile-${name}`);
}

/** Ends the controller, which then writes its profile, and attributes its processor time to causes. */
async function figuresOf(
  cluster: LoopbackCluster,
  { controller, directory, observed, span }: ProfiledUsage,
): Promise<MeasuredFigures> {
  const measurement = controller === cluster.leader() ? 'causes, owner' : 'causes, standby';
  await controller.end('SIGTERM');
  const shares = sharesByCause(readProfile(directory), span);
  const figures = new Figures(cluster.options.shared.deployment.limits);
  for (const cause of CAUSES)
    figures.cores(cause, (shares.get(cause) ?? 0) * observed.mainThreadCores);
  figures
    .cores("all of the program's thread", observed.mainThreadCores)
    .rate('answered reports', observed.answeredHeartbeats);
  return { measurement, figures: figures.all };
}
