import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HealthInputs, isHealthy } from './health.js';
import type { PeerStatus } from '../peers/peer-status.js';

function makePeerStatus(receivedAt: number, servedAt: number, refused: boolean): PeerStatus {
  const frame = { refused } as PeerStatus['frame'];
  return { receivedAt, lastServedAt: servedAt, statedAfter: receivedAt, frame };
}

/** Refused since second 10; it is second 30. */
const refusedInputs: HealthInputs = {
  now: 30,
  isLoaded: true,
  isRefused: true,
  lastSuccessAt: 10,
  lastFailureAt: 29,
  peers: [makePeerStatus(29, 10, true), makePeerStatus(29, 11, true)],
  toleranceS: 2,
};

test('a controller is healthy while served, and in an outage for all', () => {
  assert.ok(isHealthy({ ...refusedInputs, isRefused: false }));
  assert.ok(isHealthy({ ...refusedInputs, lastFailureAt: 11 }), 'one request failed');
  assert.ok(isHealthy(refusedInputs));
  assert.ok(isHealthy({ ...refusedInputs, peers: [] }), 'a single controller');
});

test('a controller that can answer nothing leaves its users to others', () => {
  assert.ok(!isHealthy({ ...refusedInputs, isRefused: false, isLoaded: false }));
  const served = {
    ...refusedInputs,
    peers: [makePeerStatus(29, 29, false), makePeerStatus(29, 11, true)],
  };
  assert.ok(!isHealthy(served), 'refused alone');
  // Guards against a controller cut off from the state service and its peers: their last words were as
  // old as its own last success, so it kept its users and answered none of them.
  assert.ok(!isHealthy({ ...refusedInputs, peers: [makePeerStatus(10, 10, false), null] }));
});
