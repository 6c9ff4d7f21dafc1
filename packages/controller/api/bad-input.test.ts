import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { CborClient, jobToWire, pause, REQUIRED_JOB_FIELDS, taskName, UserClient } from '#wire';
import {
  makeJob,
  Cluster,
  formatAddress,
  PROPERTY_TEST_OPTIONS,
  serviceAddress,
  SMALL_CLUSTER,
  USERS_HOST,
} from '#testing';

const BODY_BYTES = 64 * 1024;
const JOB_FIELD_NAMES = Object.keys(jobToWire(makeJob()));
/** Matches the error of a refusal, which begins with field names or with `body`. */
const ERROR_WITH_FIELD = new RegExp(`^(${JOB_FIELD_NAMES.join('|')}|body)\\b.*: .`);

async function startCluster() {
  const cluster = new Cluster(SMALL_CLUSTER, 1);
  const runtime = cluster.serviceRuntime('users', 'users', USERS_HOST);
  await cluster.start();
  await cluster.world.runUntil(5);
  const leader = cluster.leadership.current()?.leader;
  const { index } = cluster.controllers.find(({ name }) => name === leader)!;
  const address = formatAddress(serviceAddress(index));
  const user = new UserClient(address, 5000, runtime);
  /** Advances the simulated time until the requests are answered. */
  const runUntilAnswered = async <T>(requests: () => Promise<T>): Promise<T> => {
    const answers: T[] = [];
    const failures: unknown[] = [];
    requests().then(
      (answer) => answers.push(answer),
      (err: unknown) => failures.push(err),
    );
    for (let s = 0; s < 300 && answers.length + failures.length === 0; s++) {
      await cluster.world.runUntil(cluster.world.now + 1);
    }
    assert.deepEqual(failures, []);
    return answers[0];
  };
  return { cluster, runtime, address, user, ask: runUntilAnswered };
}

const arbitraryValue = fc.oneof(
  fc.constantFrom(null, true, '', 'x'.repeat(300), [], {}, NaN, Infinity, -1, 1e300, 2 ** 60, 0.5),
  fc.array(fc.string(), { maxLength: 3 }),
  fc.uint8Array({ maxLength: 8 }),
  fc.dictionary(fc.string(), fc.integer(), { maxKeys: 2 }),
);
const arbitraryBody = fc
  .array(
    fc.tuple(fc.constantFrom(...JOB_FIELD_NAMES), fc.option(arbitraryValue, { nil: undefined })),
    {
      minLength: 1,
      maxLength: 3,
    },
  )
  .map((changes) => ({ ...jobToWire(makeJob({ id: 'j-7' })), ...Object.fromEntries(changes) }));

test('a submission with arbitrary values is accepted, or refused with an error that names the field', async () => {
  const { cluster, user, ask } = await startCluster();
  const bodies: unknown[] = fc.sample(arbitraryBody, PROPERTY_TEST_OPTIONS);
  bodies.push([1], 'text', 7, null, {});
  await ask(async () => {
    for (const body of bodies) {
      const { status, job } = await user.submitRaw(body);
      assert.ok([200, 201, 400, 422, 429].includes(status), `${status}`);
      if (status !== 400 && status !== 422) continue;
      const { error } = job as { error: string };
      assert.match(error, body && typeof body === 'object' ? ERROR_WITH_FIELD : /./);
    }
  });
  assert.deepEqual(cluster.world.uncaught, []);
});

test('a job that can never run is refused with an error that names the responsible fields', async () => {
  const { user, ask } = await startCluster();
  const refusals: Record<string, [Parameters<typeof makeJob>[0], number]> = {
    'crew: unknown team': [{ team: 'nobody' }, 422],
    'cores: a task fits no allowed machine type': [{ cpus: 97 }, 422],
    'accelerators, ramGb: a task fits no allowed machine type': [{ gpus: 9, memory: 5000 }, 422],
    'ramGb: a task fits no allowed machine type': [{ types: ['c32'], gpus: 0, memory: 129 }, 422],
    'rigs: no such machine type': [{ types: ['x'] }, 422],
    'yard: no allowed machine type is in this zone': [{ zone: 'nowhere' }, 422],
    "pieces, accelerators: 80 at once is more than the team's limit": [
      { kind: 'gang', tasks: 10, gpus: 8 },
      422,
    ],
    'pieces: must be >= 1': [{ tasks: 0 }, 400],
  };
  let id = 0;
  for (const [expected, [overrides, status]] of Object.entries(refusals)) {
    const job = makeJob({ ...overrides, id: `j-${++id}` });
    const answer = await ask(() => user.submit(job));
    assert.deepEqual([answer.status, answer.job], [status, { error: expected }]);
  }
  for (const field of REQUIRED_JOB_FIELDS) {
    const body = jobToWire(makeJob({ id: 'j-99' }));
    delete body[field];
    const { status, job } = await ask(() => user.submitRaw(body));
    assert.deepEqual([status, job], [400, { error: `${field}: is missing` }]);
  }
});

test('the largest valid jobs crash no controller and delay no other jobs, also across a change of leader', async () => {
  const { cluster, runtime, user, ask } = await startCluster();
  const noResources = { cpus: 0, gpus: 0, memory: 0, imageGb: 0 };
  const longest = { class: 'c'.repeat(256), image: 'i'.repeat(256) };
  const largest = { tasks: 100_000, team: 'blue', rank: 3, ...longest };
  const jobs = [
    makeJob({ ...largest, id: 'j-1', cpus: 0.25, gpus: 0, memory: 1 }),
    makeJob({ ...largest, ...noResources, id: 'j-2' }),
    makeJob({ ...largest, ...noResources, id: 'j-3', kind: 'gang' }),
    makeJob({ ...largest, ...noResources, id: 'j-4', kind: 'service' }),
  ];
  for (const job of jobs) {
    cluster.storage.upload({ job, runS: Array<number>(job.tasks).fill(4), failsAfterS: null });
    const { status } = await ask(() => user.submit(job));
    assert.equal(status, 201);
  }
  await cluster.world.runUntil(60);
  const leader = cluster.leadership.current()?.leader;
  cluster.controllers.find(({ name }) => name === leader)!.process.restart(1);
  await cluster.world.runUntil(75);
  const smallJob = makeJob({ id: 'j-5', team: 'red', rank: 0, gpus: 0 });
  cluster.storage.upload({ job: smallJob, runS: [5], failsAfterS: null });
  const otherAddress = formatAddress(
    serviceAddress(cluster.controllers.find(({ name }) => name !== leader)!.index),
  );
  const client = new UserClient(otherAddress, 5000, runtime);
  const { status } = await ask(() => client.submit(smallJob));
  assert.equal(status, 201);
  const phase = await ask(async () => {
    await pause(runtime.clock, 60_000);
    const { job } = await client.status(smallJob.id);
    return job && 'phase' in job ? job.phase : null;
  });
  assert.equal(phase, 'done');
  assert.deepEqual(cluster.world.uncaught, []);
});

test('a heartbeat with as many tasks as the body limit allows gets an answer within the size limit', async () => {
  const { cluster, runtime, address, ask } = await startCluster();
  const worker = new CborClient(runtime, address);
  const pieces = Array.from({ length: 900 }, (_, i) => ({
    piece: taskName('j-123456', i),
    tryNo: 2 ** 40,
    phase: i % 2 ? 'ended' : 'running',
  }));
  const facts = { host: 'n-9', address: '10.9.9.9:1', rig: 'g8', yard: 'a', loaner: false };
  const body = { ...facts, tenure: 1, tally: 1, baton: 0, warningS: null, pieces };
  assert.ok(JSON.stringify(body).length < BODY_BYTES);
  const answer = await ask(() =>
    worker.call('POST', '/hello', { timeoutMs: 4000, body: { ...body, tally: 2 } }),
  );
  assert.equal(answer.status, 200);
  const { orders } = answer.body as { orders: { verb: string }[] };
  assert.ok(JSON.stringify(answer.body).length < BODY_BYTES);
  // Orders to stop tasks that must not run come first.
  assert.equal(orders[0].verb, 'halt');
  assert.deepEqual(cluster.world.uncaught, []);
});
