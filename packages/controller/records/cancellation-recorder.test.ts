import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoAnswer, UserClient } from '#wire';
import { decodeJob, jobKey } from '#store';
import {
  makeJob,
  Cluster,
  formatAddress,
  serviceAddress,
  type SimulatedController,
  SMALL_CLUSTER,
  USERS_HOST,
} from '#testing';

const HEARTBEAT_INTERVAL_S = SMALL_CLUSTER.deployment.workers.report_s;
const JOB_ID = 'j-1';

/** Starts a cluster with a running job; returns it with the controllers that do not lead. */
async function startClusterWithRunningJob() {
  const cluster = new Cluster(SMALL_CLUSTER, 3);
  const runtime = cluster.serviceRuntime('users', 'users', USERS_HOST);
  const userAt = ({ index }: SimulatedController) =>
    new UserClient(formatAddress(serviceAddress(index)), 5000, runtime);
  const job = makeJob({ id: JOB_ID });
  cluster.storage.upload({ job, runS: [1000], failsAfterS: null });
  await cluster.start();
  await cluster.world.runUntil(10);
  const leader = cluster.leadership.current()?.leader;
  const followers = cluster.controllers.filter(({ name }) => name !== leader);
  void userAt(followers[0]).submit(job);
  await cluster.world.runUntil(60);
  return { cluster, followers, userAt };
}

function readJobRecord(cluster: Cluster) {
  const entry = cluster.state.store.get(jobKey(JOB_ID))!;
  return decodeJob(entry.value, entry.version);
}

test('a cancellation is recorded by the leader if the controller that accepted it crashes before recording it', async () => {
  // Guards against a cancellation that exists only in the leader's memory: users saw the job as pending, and the next
  // leader started it again.
  const { cluster, followers, userAt } = await startClusterWithRunningJob();
  assert.equal(cluster.timeline.of('task-started').length, 1);
  cluster.state.beginLateTransactions(1, [30, 30]);
  userAt(followers[0])
    .abort(JOB_ID)
    .catch((err: unknown) => assert.ok(err instanceof NoAnswer));
  await cluster.world.runUntil(60.2);
  cluster.state.endReplyLoss();
  followers[0].process.crash();
  await cluster.world.runUntil(60.2 + 3 * HEARTBEAT_INTERVAL_S);
  assert.equal(readJobRecord(cluster).phase, 'accepted');
  await cluster.world.runUntil(60.2 + 8 * HEARTBEAT_INTERVAL_S);
  const recorded = readJobRecord(cluster);
  assert.equal(recorded.phase, 'cancelled');
  // The delayed write of the crashed controller has no effect.
  await cluster.world.runUntil(100);
  assert.equal(readJobRecord(cluster).version, recorded.version);
  assert.deepEqual(cluster.world.uncaught, []);
});

test('a job stays done if it is recorded as done before its cancellation is recorded', async () => {
  const { cluster, followers, userAt } = await startClusterWithRunningJob();
  cluster.state.beginLateTransactions(1, [30, 30]);
  userAt(followers[0])
    .abort(JOB_ID)
    .catch((err: unknown) => assert.ok(err instanceof NoAnswer));
  await cluster.world.runUntil(60.2);
  cluster.state.endReplyLoss();
  const { value } = cluster.state.store.get(jobKey(JOB_ID))!;
  const done = { ...(value as object), phase: 'done' };
  const version = cluster.state.store.apply([{ put: jobKey(JOB_ID), value: done }]);
  await cluster.world.runUntil(60.2 + 12 * HEARTBEAT_INTERVAL_S);
  assert.equal(readJobRecord(cluster).phase, 'done');
  assert.equal(readJobRecord(cluster).version, version);
  assert.deepEqual(cluster.world.uncaught, []);
});
