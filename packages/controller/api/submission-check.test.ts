import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pause, UserClient } from '#wire';
import {
  makeJob,
  Cluster,
  formatAddress,
  serviceAddress,
  SMALL_CLUSTER,
  USERS_HOST,
} from '#testing';

test('a repeated submission finds a job that another controller has just accepted, whatever it contains', async () => {
  // Guards against status 400 for a repeated submission whose texts are too long for a record.
  const { deployment } = SMALL_CLUSTER;
  const state = { ...deployment.state, value_kb: 1 };
  const cluster = new Cluster({ ...SMALL_CLUSTER, deployment: { ...deployment, state } }, 1);
  const runtime = cluster.serviceRuntime('users', 'users', USERS_HOST);
  await cluster.start();
  await cluster.world.runUntil(5);
  const leader = cluster.leadership.current()?.leader;
  const [firstUser, secondUser] = cluster.controllers
    .filter(({ name }) => name !== leader)
    .map(({ index }) => new UserClient(formatAddress(serviceAddress(index)), 5000, runtime));
  const validJob = makeJob({ id: 'j-1' });
  const bodies = {
    long: { class: 'x'.repeat(256), image: '\u6771'.repeat(256) },
    unknownTeam: { team: 'nobody' },
  };
  const statuses: Record<string, number> = {};
  const submitAll = async () => {
    // The watch of the other controller delivers job j-0 and then pauses, so the controller does not know j-1.
    await firstUser.submit({ ...validJob, id: 'j-0' });
    await pause(runtime.clock, 50);
    statuses.first = (await firstUser.submit(validJob)).status;
    for (const [name, overrides] of Object.entries(bodies)) {
      statuses[name] = (await secondUser.submit({ ...validJob, ...overrides })).status;
      statuses[`${name} alone`] = (
        await secondUser.submit({ ...validJob, id: 'j-2', ...overrides })
      ).status;
    }
  };
  void submitAll();
  await cluster.world.runUntil(8);
  assert.deepEqual(statuses, {
    first: 201,
    long: 200,
    'long alone': 400,
    unknownTeam: 200,
    'unknownTeam alone': 422,
  });
});
