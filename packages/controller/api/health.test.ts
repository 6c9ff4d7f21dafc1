import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HealthView, isHealthy } from './health.js';
import type { PeerStatus } from '../peers/peer-status.js';

function peer(receivedAt: number, servedAt: number, refused: boolean): PeerStatus {
  const frame = { refused } as PeerStatus['frame'];
  return { receivedAt, lastServedAt: servedAt, statedAfter: receivedAt, frame };
}

/** Refused since second 10; it is second 30. */
const refusedView: HealthView = {
  now: 30,
  loaded: true,
  refused: true,
  lastOkAt: 10,
  lastFailAt: 29,
  peers: [peer(29, 10, true), peer(29, 11, true)],
  patienceS: 2,
};

test('a controller is healthy while served, and in an outage for all', () => {
  assert.ok(isHealthy({ ...refusedView, refused: false }));
  assert.ok(isHealthy({ ...refusedView, lastFailAt: 11 }), 'one request failed');
  assert.ok(isHealthy(refusedView));
  assert.ok(isHealthy({ ...refusedView, peers: [] }), 'a single controller');
});

test('a controller that can answer nothing leaves its users to others', () => {
  assert.ok(!isHealthy({ ...refusedView, refused: false, loaded: false }));
  const served = { ...refusedView, peers: [peer(29, 29, false), peer(29, 11, true)] };
  assert.ok(!isHealthy(served), 'refused alone');
  // Guards against a controller cut off from the state service and its peers: their last words were as
  // old as its own last success, so it kept its users and answered none of them.
  assert.ok(!isHealthy({ ...refusedView, peers: [peer(10, 10, false), null] }));
});
