import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import express from 'express';
import type { ShardLeader } from '../leadership/shard-leader.js';
import { mountReplicaRoute } from './replica-endpoint.js';
import type { ReplicaSupport } from '../replica-support.js';

const ROW = { job: 'j-1', replica: 0, generation: 7, phase: 'whole' };
const SUPPORT = { listReplicas: () => [ROW] } as unknown as ReplicaSupport;
const LEADER = { replicaGroups: {} } as unknown as ShardLeader;

async function requestReplicas(support: ReplicaSupport | null, leader: ShardLeader | null) {
  const app = express();
  const currentLeader = { leader: 'controller-2', leaseId: 1, version: 9 };
  mountReplicaRoute(app, {
    replicas: { support },
    leader: () => leader,
    election: { currentLeader },
  });
  const server = http.createServer(app).listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const response = await fetch(`http://127.0.0.1:${port}/replicas`);
  return { status: response.status, body: (await response.json()) as Record<string, unknown> };
}

test('the leader lists replicas, a follower names the leader, and without replica groups the answer is 404', async () => {
  assert.deepEqual(await requestReplicas(SUPPORT, LEADER), {
    status: 200,
    body: { replicas: [ROW] },
  });
  const fromFollower = await requestReplicas(SUPPORT, null);
  assert.equal(fromFollower.status, 503);
  assert.equal(fromFollower.body.owner, 'controller-2');
  const switchedOff = await requestReplicas(null, LEADER);
  assert.equal(switchedOff.status, 404);
});
