/** Measures the peaks of processor time and memory when many jobs, large jobs or a wide array arrive. */
import { setTimeout as sleep } from 'node:timers/promises';
import { encodeJob, jobKey, sizeInJson } from '#store';
import type { Job } from '#wire';
import { makeJob } from '../../../samples.js';
import type { LoopbackCluster } from '../cluster.js';
import { Figures } from '../figure.js';
import { MACHINE_TYPE } from '../machine-type.js';
import type { MeasuredFigures } from '../measurement.js';
import type { MeasurementName } from '../measurement-names.js';
import type { SizingOptions } from '../options.js';
import { type Peak, PeakWatch } from '../peak-watch.js';

/** How long the controllers are observed from the first submission on. */
const WATCH_S = 30;
/** Pause from the cancellation of the jobs to the next measurement. */
const COOLDOWN_S = 10;
const ACCEPTANCE_POLL_MS = 5;
const ARRAY_TASKS = 25_000;
const ARRAY_RUN_S = 20;
const BURST_RUN_S = 10;
/** Fields of small jobs, many of which fit on a machine beside its anchor task. */
const SMALL_JOB_FIELDS: Partial<Job> = { class: 'batch', rank: 3, spot: true, gpus: 0, memory: 2 };

/** Submits many small jobs at once. */
export async function measureBurst(
  cluster: LoopbackCluster,
  { burst }: SizingOptions,
): Promise<MeasuredFigures[]> {
  const jobs = Array.from({ length: burst }, () => newJob(cluster, SMALL_JOB_FIELDS));
  return watchSubmission(cluster, 'burst', jobs, BURST_RUN_S);
}

/** Submits one array with very many tasks. */
export async function measureArray(cluster: LoopbackCluster): Promise<MeasuredFigures[]> {
  const job = newJob(cluster, { ...SMALL_JOB_FIELDS, cpus: 4, tasks: ARRAY_TASKS });
  return watchSubmission(cluster, 'array', [job], ARRAY_RUN_S);
}

/** Submits many jobs, each with a record of the greatest size that the state service accepts. */
export async function measureLargeJobs(
  cluster: LoopbackCluster,
  { burst }: SizingOptions,
): Promise<MeasuredFigures[]> {
  const valueBytes = cluster.options.shared.deployment.state.value_kb * 1024;
  const jobs = Array.from({ length: burst }, () =>
    enlargeToValueLimit(newJob(cluster, SMALL_JOB_FIELDS), valueBytes),
  );
  return watchSubmission(cluster, 'large-jobs', jobs, BURST_RUN_S);
}

function newJob(cluster: LoopbackCluster, fields: Partial<Job>): Job {
  const [team] = cluster.options.shared.deployment.teams;
  return makeJob({ ...fields, id: cluster.newJobId(), team: team.name });
}

/** The same job with as many machine types as fit in its record. */
function enlargeToValueLimit(job: Job, valueBytes: number): Job {
  const withTypes = (count: number) => ({ ...job, types: Array<string>(count).fill(MACHINE_TYPE) });
  const bytes = (count: number) => recordBytes(withTypes(count));
  const perType = bytes(2) - bytes(1);
  return withTypes(1 + Math.floor((valueBytes - bytes(1)) / perType));
}

/** Size of the record of a job, calculated as controllers do before they accept a job. */
function recordBytes(job: Job): number {
  const record = { job, acceptedAtMs: Number.MAX_SAFE_INTEGER, phase: 'accepted' as const };
  return sizeInJson([{ put: jobKey(job.id), value: encodeJob(record) }]);
}

async function watchSubmission(
  cluster: LoopbackCluster,
  measurement: MeasurementName,
  jobs: Job[],
  runS: number,
): Promise<MeasuredFigures[]> {
  const leader = cluster.requireLeader();
  const leaderWatch = new PeakWatch(leader);
  const watches = cluster.standbys().map((controller) => new PeakWatch(controller));
  const refusals = cluster.userLog.refusals;
  const startedAtMs = performance.now();
  submitAll(cluster, jobs, runS);
  const acceptedS = await waitUntilAccepted(cluster, jobs, startedAtMs);
  await sleep(Math.max(0, startedAtMs + WATCH_S * 1000 - performance.now()));
  const figures = new Figures(cluster.options.shared.deployment.limits);
  addPeak(figures, 'owner', leaderWatch.end());
  const others = watches.map((watch) => watch.end());
  if (others.length > 0) addPeak(figures, 'others', combinePeaks(others));
  figures
    .seconds('until the last was accepted', acceptedS)
    .count('submissions put off', cluster.userLog.refusals - refusals);
  for (const { id } of jobs) cluster.users.cancel(id);
  await sleep(COOLDOWN_S * 1000);
  return [{ measurement, figures: figures.all }];
}

function submitAll(cluster: LoopbackCluster, jobs: Job[], runS: number): void {
  for (const job of jobs) {
    const program = { job, runS: Array<number>(job.tasks).fill(runS), failsAfterS: null };
    cluster.users.submit({ program, submitAtS: 0, cancelAfterS: null, repeatAfterS: null });
  }
}

/** Seconds until the last job was accepted; infinite if some were not accepted within `WATCH_S`. */
async function waitUntilAccepted(
  { userLog }: LoopbackCluster,
  jobs: Job[],
  startedAtMs: number,
): Promise<number> {
  const isOpen = () => jobs.some(({ id }) => !userLog.accepted.has(id));
  const passedS = () => (performance.now() - startedAtMs) / 1000;
  while (isOpen() && passedS() < WATCH_S) await sleep(ACCEPTANCE_POLL_MS);
  return isOpen() ? Infinity : passedS();
}

function addPeak(figures: Figures, role: string, { cores, memoryMb }: Peak): void {
  figures
    .cores(`${role}: processor over the busiest second`, cores)
    .megabytes(`${role}: greatest memory`, memoryMb);
}

function combinePeaks(peaks: Peak[]): Peak {
  return {
    cores: Math.max(...peaks.map(({ cores }) => cores)),
    memoryMb: Math.max(...peaks.map(({ memoryMb }) => memoryMb)),
  };
}
