/**
 * Guards against jobs that are accepted although the controllers have no memory for them, and against jobs that are
 * refused for good, when jobs with many dependencies come faster than they end and all controllers crash meanwhile.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobMemoryLimits, openJobBytes } from '#controller';
import { decodeJob, JOBS_PREFIX } from '#store';
import type { Job } from '#wire';
import { makeJob } from '../samples.js';
import { Cluster, type ClusterSettings, SMALL_CLUSTER } from '../simulation/index.js';
import { describeViolation, type PlannedJob } from '../stand-ins/index.js';

const CHAINED_TEAM = 'red';
const OTHER_TEAM = 'blue';
const FIRST_STAGE = 300;
const BURST = { fromS: 60, perSecond: 5, count: 300 };
const CRASH_S = 90;
/** All jobs of the first stage have ended by then. */
const LATE_S = 330;
const LENGTH_S = 480;
const RUN_S = 150;
/** So little memory that far fewer jobs than the burst have room. */
const MEMORY_MB = 60;
const ANSWERS = new Set([200, 201, 429, 503]);
const SUBMISSION_PATH = /^\/submissions$/;

const { deployment } = SMALL_CLUSTER;
const SETTINGS: ClusterSettings = {
  ...SMALL_CLUSTER,
  deployment: { ...deployment, limits: { ...deployment.limits, memory_mb: MEMORY_MB } },
};

function planJob(number: number, submitAtS: number, fields: Partial<Job>): PlannedJob {
  const id = `j-${String(number).padStart(6, '0')}`;
  const job = makeJob({ id, gpus: 0, cpus: 0.1, memory: 0.1, imageGb: 0.5, ...fields });
  const program = { job, runS: [RUN_S], failsAfterS: null };
  return { program, submitAtS, cancelAfterS: null, repeatAfterS: null };
}

function planFirstStage(): PlannedJob[] {
  return Array.from({ length: FIRST_STAGE }, (_, index) =>
    planJob(index, 10 + index / 10, { team: CHAINED_TEAM }),
  );
}

function planBurst(dependencies: string[]): PlannedJob[] {
  const fields = { team: CHAINED_TEAM, awaits: dependencies };
  return Array.from({ length: BURST.count }, (_, index) =>
    planJob(1000 + index, BURST.fromS + index / BURST.perSecond, fields),
  );
}

/** The open jobs that the state service holds. */
function openJobs({ state }: Cluster): Job[] {
  const { entries } = state.store.list(JOBS_PREFIX, null, Infinity);
  const records = entries.map(({ value, version }) => decodeJob(value, version));
  return records.filter(({ phase }) => phase === 'accepted').map(({ job }) => job);
}

test('in a burst of chained jobs and a crash of all controllers, memory is kept, other teams served, and late jobs accepted', async () => {
  const cluster = new Cluster(SETTINGS, 5);
  const { world, requests, checker } = cluster;
  const first = planFirstStage();
  const burst = planBurst(first.map(({ program }) => program.job.id));
  const others = Array.from({ length: 40 }, (_, index) =>
    planJob(2000 + index, BURST.fromS + 2 * index, { team: OTHER_TEAM }),
  );
  const late = planJob(3000, LATE_S, { team: CHAINED_TEAM, awaits: burst[0].program.job.awaits });
  await cluster.start();
  cluster.users.start([...first, ...burst, ...others, late]);
  world.schedule(CRASH_S, () => {
    for (const { process } of cluster.controllers) process.restart(4);
  });
  const limits = jobMemoryLimits({ ...SETTINGS.deployment, nodes: SETTINGS.controllers });
  const usedBytes: number[] = [];
  for (let atS = BURST.fromS; atS < LATE_S; atS += 5) {
    world.schedule(atS, () => {
      usedBytes.push(openJobs(cluster).reduce((sum, job) => sum + openJobBytes(job), 0));
    });
  }
  await world.runUntil(LENGTH_S);

  assert.deepEqual(world.uncaught, []);
  assert.deepEqual(checker.finish().map(describeViolation), []);
  const peakBytes = Math.max(...usedBytes);
  assert.ok(peakBytes <= limits.limitBytes, `${peakBytes} bytes of ${limits.limitBytes}`);
  assert.ok(peakBytes >= limits.limitBytes / 2, `${peakBytes} bytes of ${limits.limitBytes}`);
  const answers = requests.find({ path: SUBMISSION_PATH, fromS: 0, untilS: LENGTH_S });
  assert.ok(answers.every(({ status }) => ANSWERS.has(status)));
  const refused = answers.filter(({ status }) => status === 429).length;
  assert.ok(refused > 50, `${refused} refused`);
  const accepted = new Set(
    cluster.timeline
      .of('answered')
      .filter(({ request, status }) => request.kind === 'submit' && status < 300)
      .map(({ request }) => request.job),
  );
  for (const { program } of [...first, ...others, late]) assert.ok(accepted.has(program.job.id));
});
