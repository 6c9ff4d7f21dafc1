import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoAnswer, pause, UserClient, type Runtime } from '#wire';
import { aJob } from '../samples.js';
import {
  Cluster,
  FaultInjector,
  formatAddress,
  serviceAddress,
  SMALL_CLUSTER,
  USERS_HOST,
  type Fault,
} from './index.js';

const RUN_S = 12;

/** A user who submits one job at a random controller and asks until it is done. */
async function useOnce(runtime: Runtime, clients: UserClient[], id: string): Promise<void> {
  let submitted = false;
  for (;;) {
    const client = clients[Math.floor(runtime.random() * clients.length)];
    try {
      if (submitted && isDone((await client.status(id)).job)) return;
      if (!submitted) submitted = (await client.submit(aJob({ id, tasks: 2 }))).status < 300;
    } catch (err) {
      if (!(err instanceof NoAnswer)) throw err;
    }
    await pause(runtime.clock, 1000);
  }
}

function isDone(job: object | null): boolean {
  return job !== null && 'phase' in job && job.phase === 'done';
}

/** Plays a cluster with a new job each second for most of the time. */
async function play(seed: number, lengthS: number, faults: Fault[]) {
  const cluster = new Cluster(SMALL_CLUSTER, seed);
  const runtime = cluster.serviceRuntime('users', 'users', USERS_HOST);
  const clients = cluster.controllers.map(
    ({ index }) => new UserClient(formatAddress(serviceAddress(index)), 5000, runtime),
  );
  const injector = new FaultInjector(cluster, () => assert.fail('no users here'));
  injector.schedule(faults);
  await cluster.start();
  let done = 0;
  const jobs = Math.floor(lengthS / 3);
  for (let number = 1; number <= jobs; number++) {
    const id = `j-${number}`;
    const runS = [RUN_S, RUN_S];
    cluster.storage.upload({ job: aJob({ id, tasks: 2 }), runS, failsAfterS: null });
    void useOnce(runtime, clients, id).then(() => done++);
    await cluster.world.runUntil(number);
  }
  await cluster.world.runUntil(lengthS);
  return { cluster, jobs, done, journal: injector.journal };
}

test('real controllers serve work on simulated time, and the same seed gives the same run', async () => {
  const runs = [await play(1, 120, []), await play(1, 120, [])];
  const [first, second] = runs;
  assert.equal(first.done, first.jobs);
  assert.equal(first.cluster.timeline.of('task-completed').length, 2 * first.jobs);
  assert.deepEqual(first.cluster.world.uncaught, []);
  assert.equal(first.cluster.world.digest, second.cluster.world.digest);
  assert.deepEqual(first.cluster.timeline.events, second.cluster.timeline.events);
});

test('another controller takes over from a leader that crashes, is refused, cut or frozen', async () => {
  const faults: Fault[] = [
    { kind: 'controller-crash', atS: 40, controllers: 'leader', downS: 0.4 },
    { kind: 'state-refuses', atS: 70, controllers: 'leader', forS: 12 },
    {
      kind: 'controller-cut',
      atS: 100,
      controllers: 'leader',
      from: ['state'],
      mode: 'drop',
      forS: 12,
    },
    { kind: 'controller-freeze', atS: 130, controllers: 'leader', forS: 12 },
  ];
  const { cluster, jobs, done, journal } = await play(2, 180, faults);
  const leaders = cluster.ownership.changes;
  assert.equal(leaders.length, 1 + faults.length);
  for (const [index, { leader, fromS, controllers }] of journal.records.entries()) {
    assert.deepEqual(controllers, [leader?.owner]);
    assert.equal(leader, leaders[index]);
    const successor = leaders[index + 1];
    assert.ok(successor.atS > fromS && successor.atS < fromS + 12, `${index}: ${successor.atS}`);
  }
  assert.equal(done, jobs);
  assert.deepEqual(cluster.world.uncaught, []);
});
