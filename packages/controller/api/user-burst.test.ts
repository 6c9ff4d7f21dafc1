import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UserClient } from '#wire';
import {
  makeJob,
  Cluster,
  formatAddress,
  serviceAddress,
  SMALL_CLUSTER,
  USERS_HOST,
} from '#testing';

const WRITE_RPS = SMALL_CLUSTER.deployment.state.write_rps;
/** Share of the state service's write rate that a follower may use. */
const SHARE = 0.3;

/** Starts a cluster with a leader. `makeUser` makes a user of a controller that has never led. */
async function startClusterWithUsers() {
  const cluster = new Cluster(SMALL_CLUSTER, 1);
  const runtime = cluster.serviceRuntime('users', 'users', USERS_HOST);
  await cluster.start();
  await cluster.world.runUntil(5);
  const leader = cluster.leadership.current()?.leader;
  const follower = cluster.controllers.find(({ name }) => name !== leader)!;
  const address = formatAddress(serviceAddress(follower.index));
  const makeUser = () => new UserClient(address, 20_000, runtime);
  return { cluster, makeUser, now: () => cluster.world.now };
}

test('a follower that has never led answers a burst of submissions and cancellations within its share', async () => {
  const { cluster, makeUser, now } = await startClusterWithUsers();
  const ids = Array.from({ length: 40 }, (_, i) => `j-${i}`);
  const submitted: number[] = [];
  for (const id of ids) {
    void makeUser()
      .submit(makeJob({ id }))
      .then(({ status }) => status === 201 && submitted.push(now()));
  }
  await cluster.world.runUntil(now() + 0.5);
  const maxAccepted = SHARE * WRITE_RPS * 1.5 + 1;
  assert.ok(
    submitted.length > 10 && submitted.length <= maxAccepted,
    `${submitted.length} accepted`,
  );
  await cluster.world.runUntil(now() + 5);
  assert.equal(submitted.length, ids.length);
  // The state service answers slowly, so that all cancellations that arrive meanwhile share the next transaction.
  cluster.state.setLatency({ usualMs: [400, 400], slowShare: 0, slowMs: [0, 0] });
  let cancelled = 0;
  for (const id of ids)
    void makeUser()
      .abort(id)
      .then(({ status }) => status === 200 && cancelled++);
  await cluster.world.runUntil(now() + 10);
  assert.equal(cancelled, ids.length);
  assert.deepEqual(cluster.world.uncaught, []);
});
