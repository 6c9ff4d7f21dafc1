import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobToWire, pause, type Job, type UserAnswer, UserClient } from '#wire';
import {
  makeJob,
  Cluster,
  formatAddress,
  serviceAddress,
  SMALL_CLUSTER,
  USERS_HOST,
} from '#testing';

const CONTROLLERS = [0, 1, 2];

/** Starts three controllers with a user each. Tasks of submitted jobs run for `runS` seconds. */
async function startCluster(seed = 1) {
  const cluster = new Cluster(SMALL_CLUSTER, seed);
  const runtime = cluster.serviceRuntime('users', 'users', USERS_HOST);
  await cluster.start();
  await cluster.world.runUntil(10);
  const users = CONTROLLERS.map(
    (index) => new UserClient(formatAddress(serviceAddress(index)), 5000, runtime),
  );
  /** Advances the simulated time until the request is answered. */
  const runUntilAnswered = async <T>(request: Promise<T>): Promise<T> => {
    const answers: T[] = [];
    const failures: unknown[] = [];
    request.then(
      (answer) => answers.push(answer),
      (err: unknown) => failures.push(err),
    );
    for (let s = 0; s < 3000 && answers.length + failures.length === 0; s++) {
      await cluster.world.runUntil(cluster.world.now + 0.02);
    }
    assert.deepEqual(failures, []);
    return answers[0];
  };
  const upload = (own: Partial<Job>, runS = 4): Job => {
    const job = makeJob({ gpus: 0, cpus: 1, ...own });
    const runtimes = Array<number>(job.tasks).fill(runS);
    cluster.storage.upload({ job, runS: runtimes, failsAfterS: null });
    return job;
  };
  const submit = (user: number, own: Partial<Job>, runS?: number) =>
    runUntilAnswered(users[user].submit(upload(own, runS)));
  const phaseAt = async (user: number, id: string) =>
    phaseOf(await runUntilAnswered(users[user].status(id)));
  const wait = (seconds: number) => runUntilAnswered(pause(runtime.clock, seconds * 1000));
  return { cluster, users, ask: runUntilAnswered, submit, upload, phaseAt, wait };
}

function phaseOf({ job }: UserAnswer): string | null {
  return job !== null && 'phase' in job ? job.phase : null;
}

function errorOf({ job }: UserAnswer): string {
  return job !== null && 'error' in job ? (job.error ?? '') : '';
}

test('a submission that depends on itself, on a service or on a job that was never accepted is refused', async () => {
  const { submit, users, ask } = await startCluster();
  await submit(0, { id: 'j-1', kind: 'service' });
  await submit(0, { id: 'j-2' });
  const refusals: [string[], RegExp][] = [
    [['j-10'], /^awaits: a job can't await itself$/],
    [['j-1'], /^awaits: j-1 is a service/],
    [['j-2', 'j-99'], /^awaits: j-99 was never accepted$/],
  ];
  for (const user of CONTROLLERS) {
    for (const [dependencies, error] of refusals) {
      const answer = await submit(user, { id: 'j-10', awaits: dependencies });
      assert.equal(answer.status, 422);
      assert.match(errorOf(answer), error);
    }
  }
  await ask(users[0].abort('j-1'));
  const ended = await submit(1, { id: 'j-10', awaits: ['j-1'] });
  assert.deepEqual([ended.status, errorOf(ended).slice(0, 19)], [422, 'awaits: j-1 is a se']);
  assert.equal((await ask(users[0].status('j-10'))).status, 404);
});

test('dependencies that are not a list of job ids are refused, and null or an empty list means none', async () => {
  const { ask, users, upload } = await startCluster();
  const body = (dependencies: unknown) => ({
    ...jobToWire(upload({ id: 'j-10' })),
    awaits: dependencies,
  });
  for (const dependencies of ['j-1', 7, [7], ['x'], [null], { a: 1 }, ['j-']]) {
    const answer = await ask(users[0].submitRaw(body(dependencies)));
    assert.equal(answer.status, 400, JSON.stringify(dependencies));
    assert.match(errorOf(answer), /^awaits/);
  }
  for (const [number, dependencies] of [null, [], undefined].entries()) {
    const plain = { ...body(dependencies), id: `j-2${number}` };
    assert.equal((await ask(users[0].submitRaw(plain))).status, 201);
  }
  const many = Array.from({ length: 3000 }, (_, number) => `j-${100_000_000 + number}`);
  const answer = await ask(users[0].submitRaw(body(many)));
  assert.equal(answer.status, 400);
  assert.match(errorOf(answer), /^lane, crew, bundle, rigs, yard, awaits: .* 8192 bytes$/);
});

test('a job may depend on one that another controller has just accepted', async () => {
  // Guards against a permanent refusal by a controller whose job cache had not received the dependency from
  // the watch yet.
  for (const seed of [1, 2, 3]) {
    const { submit, ask, users, upload } = await startCluster(seed);
    for (let number = 0; number < 12; number++) {
      const first = `j-${100 + number}`;
      assert.equal((await submit(number % 3, { id: first })).status, 201);
      const next = upload({ id: `j-${200 + number}`, awaits: [first, first] });
      const answers = await ask(
        Promise.all([1, 2].map((step) => users[(number + step) % 3].submit(next))),
      );
      const statuses = answers.map(({ status }) => status).sort();
      assert.deepEqual(statuses, [200, 201]);
    }
  }
});

test('a controller that cannot read the state service answers 503 with Retry-After, not a permanent refusal', async () => {
  const { cluster, submit, ask, users, upload } = await startCluster();
  await submit(0, { id: 'j-1' });
  const { host } = cluster.controllers[1];
  cluster.state.refuseClient(host.address);
  const refused = await ask(users[1].submit(upload({ id: 'j-2', awaits: ['j-77'] })));
  assert.equal(refused.status, 503);
  assert.ok(refused.retryAfterS !== null && refused.retryAfterS >= 1);
  cluster.state.readmitClient(host.address);
  const known = await ask(users[2].submit(upload({ id: 'j-2', awaits: ['j-1'] })));
  assert.equal(known.status, 201);
  // A repeated submission finds the known job, whatever dependencies the repetition names.
  const repeated = await ask(users[0].submit(upload({ id: 'j-2', awaits: ['j-2', 'j-77'] })));
  assert.equal(repeated.status, 200);
});

test('a job with dependencies starts only after the records say that all its dependencies are done', async () => {
  const { cluster, submit, phaseAt, wait } = await startCluster();
  await submit(0, { id: 'j-1', tasks: 3 }, 6);
  await submit(1, { id: 'j-2', awaits: ['j-1'], kind: 'gang', tasks: 2 }, 4);
  await submit(2, { id: 'j-3', awaits: ['j-2', 'j-1'], rank: 0 }, 3);
  assert.deepEqual([await phaseAt(0, 'j-2'), await phaseAt(1, 'j-3')], ['pending', 'pending']);
  await wait(150);
  for (const user of CONTROLLERS) assert.equal(await phaseAt(user, 'j-3'), 'done');
  const { timeline } = cluster;
  for (const [job, before] of [
    ['j-2', 'j-1'],
    ['j-3', 'j-2'],
  ]) {
    const doneRecorded = timeline.of('transaction').find(({ changes }) =>
      changes.some((change) => {
        if (!('put' in change) || change.put !== `jobs/${before}`) return false;
        return (change.value as { phase: string }).phase === 'done';
      }),
    );
    const first = timeline.of('task-assigned').find(({ task }) => task.job === job);
    assert.ok(doneRecorded && first && doneRecorded.atS < first.atS, job);
  }
  assert.deepEqual(cluster.checker.violations, []);
});

test('cancelling a job aborts all jobs that depend on it, at every controller and also if submitted later', async () => {
  const { cluster, submit, ask, users, phaseAt, wait } = await startCluster();
  await submit(0, { id: 'j-1' }, 500);
  await submit(1, { id: 'j-2', awaits: ['j-1'] });
  await submit(2, { id: 'j-3', awaits: ['j-2'] });
  await submit(2, { id: 'j-4' }, 500);
  await wait(60);
  const cancelAnswer = await ask(users[0].abort('j-1'));
  assert.equal(phaseOf(cancelAnswer), 'aborted');
  for (const user of CONTROLLERS) {
    for (const id of ['j-2', 'j-3']) assert.equal(await phaseAt(user, id), 'aborted');
  }
  const revision = cluster.state.store.revision;
  const late = await submit(1, { id: 'j-5', awaits: ['j-3', 'j-4'] });
  assert.deepEqual([late.status, phaseOf(late)], [201, 'aborted']);
  assert.equal(phaseOf(await ask(users[2].abort('j-3'))), 'aborted');
  assert.equal(phaseOf(await submit(0, { id: 'j-2', awaits: ['j-1'] })), 'aborted');
  // The records of dependent jobs did not change. Only the record of the late submission was written.
  const jobs = ['j-2', 'j-3', 'j-5'].map((id) => cluster.state.store.get(`jobs/${id}`)!);
  for (const { value } of jobs) assert.equal((value as { phase: string }).phase, 'accepted');
  assert.ok(jobs.filter(({ version }) => version > revision).length === 1);
  // Restarted controllers report the same phases.
  for (const { process } of cluster.controllers) process.restart(0.5);
  await wait(25);
  for (const user of CONTROLLERS) {
    for (const id of ['j-2', 'j-3', 'j-5']) assert.equal(await phaseAt(user, id), 'aborted');
    assert.equal(await phaseAt(user, 'j-4'), 'running');
  }
  assert.deepEqual(cluster.checker.violations, []);
});

test('a cancellation that is answered with done does not abort dependent jobs', async () => {
  const { submit, ask, users, phaseAt, wait } = await startCluster();
  await submit(0, { id: 'j-1' }, 2);
  await submit(1, { id: 'j-2', awaits: ['j-1'] }, 40);
  await wait(110);
  assert.equal(phaseOf(await ask(users[2].abort('j-1'))), 'done');
  for (const user of CONTROLLERS) assert.notEqual(await phaseAt(user, 'j-2'), 'aborted');
});

test('after a long refusal by the state service a controller reads cancellations before it answers a submission', async () => {
  // Guards against a job reported as pending long after its dependency was cancelled. The first request that the
  // state service served again wrote the job's record, but the job cache was as old as the start of the refusal.
  const { cluster, submit, ask, users, upload } = await startCluster();
  await submit(0, { id: 'j-1' }, 500);
  await submit(1, { id: 'j-2', awaits: ['j-1'] });
  const late = cluster.controllers[2];
  cluster.state.refuseClient(late.host.address);
  await ask(users[0].abort('j-1'));
  await cluster.world.runUntil(cluster.world.now + 50);
  cluster.state.readmitClient(late.host.address);
  const answer = await ask(users[2].submit(upload({ id: 'j-3', awaits: ['j-2'] })));
  assert.deepEqual([answer.status, phaseOf(answer)], [201, 'aborted']);
});

test('a job submitted while its dependency is being cancelled or ends has the same phase at all controllers', async () => {
  const { cluster, users, ask, submit, upload, phaseAt, wait } = await startCluster();
  let next = 100;
  const newId = () => `j-${next++}`;
  for (const delayMs of [0, 1, 2, 3, 5, 8, 12]) {
    const [first, second] = [newId(), newId()];
    await submit(0, { id: first }, 500);
    const dependent = upload({ id: second, awaits: [first] });
    const later = async () => {
      await pause(cluster.serviceRuntime(`user-${second}`, 'users', USERS_HOST).clock, delayMs);
      return users[1].submit(dependent);
    };
    const [cancelAnswer, accepted] = await ask(Promise.all([users[2].abort(first), later()]));
    assert.deepEqual([phaseOf(cancelAnswer), accepted.status], ['aborted', 201]);
    for (const user of CONTROLLERS) assert.equal(await phaseAt(user, second), 'aborted');
  }
  const shortJobs = Array.from({ length: 6 }, () => newId());
  for (const [number, id] of shortJobs.entries()) await submit(number % 3, { id, cpus: 0.5 }, 3);
  const dependents: string[] = [];
  for (let s = 0; s < 40; s++) {
    for (const [number, id] of shortJobs.entries()) {
      if (s % 6 !== number) continue;
      const second = newId();
      dependents.push(second);
      assert.equal((await submit(s % 3, { id: second, cpus: 0.5, awaits: [id] }, 1)).status, 201);
    }
    await wait(1);
  }
  await wait(60);
  for (const id of dependents) assert.equal(await phaseAt(0, id), 'done', id);
  assert.deepEqual(cluster.checker.violations, []);
});
