/**
 * Guards against delayed or lost jobs of one team when another team floods the controllers with single-task jobs and
 * the leader crashes during the flood.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobKey } from '#store';
import { UserClient } from '#wire';
import { makeJob } from '../samples.js';
import { Cluster, formatAddress, serviceAddress, SMALL_CLUSTER } from '../simulation/index.js';
import { describeViolation, type PlannedJob } from '../stand-ins/index.js';

const REGULAR_TEAM = 'red';
const FLOODING_TEAM = 'blue';
const PROBER_HOST = '10.9.0.9';
const SUBMISSION_PATH = /^\/submissions$/;
const FLOOD = { fromS: 40, untilS: 54, perSecond: 80 };
const CRASH_S = 47;
/** Seconds before and after the crash in which a submission may reach no controller that accepts it. */
const CRASH_WINDOW_S = 6;
const LENGTH_S = 170;

function planJob(
  number: number,
  submitAtS: number,
  overrides: Parameters<typeof makeJob>[0],
): PlannedJob {
  const job = makeJob({
    id: `j-${String(number).padStart(6, '0')}`,
    gpus: 0,
    imageGb: 0.5,
    ...overrides,
  });
  const program = { job, runS: [8], failsAfterS: null };
  return { program, submitAtS, cancelAfterS: null, repeatAfterS: null };
}

function makeFloodJobs(): PlannedJob[] {
  const count = (FLOOD.untilS - FLOOD.fromS) * FLOOD.perSecond;
  const small = { team: FLOODING_TEAM, rank: 3, cpus: 0.25, memory: 0.5, spot: true };
  return Array.from({ length: count }, (_, i) =>
    planJob(100_000 + i, FLOOD.fromS + i / FLOOD.perSecond, small),
  );
}

function makeRegularJobs(): PlannedJob[] {
  return Array.from({ length: 60 }, (_, i) =>
    planJob(i, 10 + i, { team: REGULAR_TEAM, rank: 1, cpus: 1, memory: 2 }),
  );
}

/** Per accepted job, the time of its first request and the seconds until the answer that accepted it. */
function firstAcceptances({ timeline }: Cluster): Map<string, { askedAtS: number; waitS: number }> {
  const asked = new Map<string, number>();
  const accepted = new Map<string, { askedAtS: number; waitS: number }>();
  for (const { atS, request } of timeline.of('asked')) {
    if (request.kind === 'submit' && !asked.has(request.job)) asked.set(request.job, atS);
  }
  for (const { atS, request, status } of timeline.of('answered')) {
    if (request.kind !== 'submit' || status >= 300 || accepted.has(request.job)) continue;
    const askedAtS = asked.get(request.job)!;
    accepted.set(request.job, { askedAtS, waitS: atS - askedAtS });
  }
  return accepted;
}

test("a flood of one team's small jobs, across a crash of the leader, does not delay the other team's jobs", async () => {
  const cluster = new Cluster(SMALL_CLUSTER, 3);
  const { world, requests, state, checker } = cluster;
  const runtime = cluster.serviceRuntime('prober', 'users', PROBER_HOST);
  const regularJobs = makeRegularJobs();
  const floodJobs = makeFloodJobs();
  await cluster.start();
  cluster.users.start([...regularJobs, ...floodJobs]);
  world.schedule(CRASH_S, () => {
    const leader = cluster.leadership.current()!.leader;
    cluster.controllers.find(({ name }) => name === leader)!.process.restart(4);
  });
  const retryAfters: number[] = [];
  const probe = (index: number, number: number) => {
    const user = new UserClient(formatAddress(serviceAddress(index)), 5000, runtime);
    const { job } = planJob(800_000 + number, 0, { team: FLOODING_TEAM, cpus: 0.25 }).program;
    cluster.storage.upload({ job, runS: [1], failsAfterS: null });
    user.submit(job).then(
      ({ status, retryAfterS }) => {
        if (status === 429) retryAfters.push(retryAfterS ?? 0);
      },
      () => {},
    );
  };
  for (let i = 0; i < 30; i++) {
    world.schedule(FLOOD.untilS - 4 + i / 10, () => probe(i % SMALL_CLUSTER.controllers, i));
  }
  await world.runUntil(LENGTH_S);

  assert.deepEqual(world.uncaught, []);
  assert.deepEqual(checker.finish().map(describeViolation), []);
  const flood = { path: SUBMISSION_PATH, fromS: FLOOD.fromS, untilS: FLOOD.untilS };
  assert.ok(
    requests.find({ ...flood, status: 429 }).length > 100,
    'too few submissions were refused',
  );
  assert.ok(new Set(retryAfters).size > 1, `${retryAfters}`);
  assert.ok(retryAfters.every((seconds) => seconds >= 1 && seconds <= 30));

  const accepted = firstAcceptances(cluster);
  const outsideCrash = regularJobs.filter(
    ({ submitAtS }) => Math.abs(submitAtS - CRASH_S) > CRASH_WINDOW_S,
  );
  const waits = outsideCrash.map(({ program }) => accepted.get(program.job.id)?.waitS ?? Infinity);
  const inTime = waits.filter((waitS) => waitS <= 1).length;
  assert.ok(inTime >= 0.95 * outsideCrash.length, `${inTime} of ${outsideCrash.length} in time`);
  for (const { program } of regularJobs) assert.ok(accepted.has(program.job.id));
  const { store } = state;
  const isDone = (id: string) =>
    (store.get(jobKey(id))?.value as { phase: string } | undefined)?.phase === 'done';
  for (const id of accepted.keys()) assert.ok(isDone(id), `${id} was accepted and is not done`);
  assert.ok(
    accepted.size - regularJobs.length > 0.6 * floodJobs.length,
    `${accepted.size} accepted`,
  );
});
