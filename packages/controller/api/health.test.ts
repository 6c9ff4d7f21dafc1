import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HealthInputs, isHealthy } from './health.js';
import type { PeerStatus } from '../peers/peer-status.js';

function makePeerStatus(receivedAt: number, servedAt: number, refused: boolean): PeerStatus {
  const frame = { refused } as PeerStatus['frame'];
  return { receivedAt, lastServedAt: servedAt, statedAfter: receivedAt, frame };
}

/** At second 30, the state service has refused this controller since second 10. */
const failingInputs: HealthInputs = {
  now: 30,
  isLoaded: true,
  isServiceFailing: true,
  lastSuccessAt: 10,
  lastFailureAt: 29,
  peers: [makePeerStatus(29, 10, true), makePeerStatus(29, 11, true)],
  toleranceS: 2,
};

test('a controller is healthy while the state service serves it, and in an outage that affects all controllers', () => {
  assert.ok(isHealthy({ ...failingInputs, isServiceFailing: false }));
  assert.ok(isHealthy({ ...failingInputs, lastFailureAt: 11 }), 'one request failed');
  assert.ok(isHealthy(failingInputs));
  assert.ok(isHealthy({ ...failingInputs, peers: [] }), 'a single controller');
});

test('a controller that cannot answer users is unhealthy while other controllers may be able to', () => {
  assert.ok(!isHealthy({ ...failingInputs, isServiceFailing: false, isLoaded: false }));
  const served = {
    ...failingInputs,
    peers: [makePeerStatus(29, 29, false), makePeerStatus(29, 11, true)],
  };
  assert.ok(!isHealthy(served), 'refused alone');
  // Guards against a controller without connection to the state service and its peers that stayed healthy and
  // answered none of its users. The last status of its peers was as old as its own last successful request.
  assert.ok(!isHealthy({ ...failingInputs, peers: [makePeerStatus(10, 10, false), null] }));
});
