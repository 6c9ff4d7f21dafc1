import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoAnswer, pause, UserClient } from '#wire';
import {
  makeJob,
  Cluster,
  formatAddress,
  serviceAddress,
  SMALL_CLUSTER,
  USERS_HOST,
} from '#testing';

/**
 * Extreme limits that the settings allow. Guards against a cloud that was never called at a rate below two calls
 * a second, and against a process that hung with values as large as a transaction.
 */
const EXTREME_LIMITS = {
  'a cloud rate below two calls a second': { cloud: { rps: 0.5, list_lag_s: 4 } },
  'few changes a second in the smallest transactions': {
    state: { rps: 60, write_rps: 6, value_kb: 1, txn_ops: 2 },
  },
  'values as large as a transaction': {
    state: { rps: 60, write_rps: 50, value_kb: 64, txn_ops: 24 },
  },
};

function phaseIsDone({ job }: Awaited<ReturnType<UserClient['submit']>>): boolean {
  return job !== null && 'phase' in job && job.phase === 'done';
}

function ignoreNoAnswer(err: unknown): false {
  if (err instanceof NoAnswer) return false;
  throw err;
}

for (const [name, limits] of Object.entries(EXTREME_LIMITS)) {
  test(`a job is completed with ${name}`, async () => {
    const deployment = { ...SMALL_CLUSTER.deployment, ...limits };
    const cluster = new Cluster({ ...SMALL_CLUSTER, deployment }, 1);
    const runtime = cluster.serviceRuntime('users', 'users', USERS_HOST);
    const user = new UserClient(formatAddress(serviceAddress(0)), 5000, runtime);
    const job = makeJob({ id: 'j-1', tasks: 4 });
    cluster.storage.upload({ job, runS: [5, 5, 5, 60], failsAfterS: null });
    let isDone = false;
    const submitUntilDone = async () => {
      while (!isDone) {
        isDone = await user.submit(job).then(phaseIsDone, ignoreNoAnswer);
        await pause(runtime.clock, 1000);
      }
    };
    await cluster.start();
    void submitUntilDone();
    await cluster.world.runUntil(180);
    assert.ok(isDone);
    assert.deepEqual(cluster.world.uncaught, []);
  });
}
