import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  shouldRedirectToLeader,
  nextControllerForWorkers,
  wouldLoseWorkerLeases,
} from './leader-reachability.js';
import type { PeerStatus } from '../peers/peer-status.js';

const NOW = 30;
const SILENCE_S = 2;

function statusAt(receivedAt: number, unreachable = false): PeerStatus {
  const frame = { unreachable } as PeerStatus['frame'];
  return { receivedAt, statedAfter: receivedAt, lastServedAt: receivedAt, frame };
}

function redirects(leader: PeerStatus | null, ...others: (PeerStatus | null)[]): boolean {
  return shouldRedirectToLeader({
    now: NOW,
    leader,
    peers: [leader, ...others],
    silenceS: SILENCE_S,
  });
}

test('workers are redirected to a leader that is reachable or has sent no status yet', () => {
  assert.ok(redirects(statusAt(29), statusAt(29)));
  assert.ok(redirects(null, statusAt(29)));
});

test('workers are not redirected to a leader that is silent or that reports itself unreachable for workers', () => {
  assert.ok(!redirects(statusAt(20), statusAt(29)));
  assert.ok(!redirects(statusAt(29, true), statusAt(29)));
});

test('a controller that reaches no peer still redirects workers to the leader', () => {
  assert.ok(redirects(statusAt(20), statusAt(20), null));
});

test('workers try the controller with the next higher number, and the first one after the last', () => {
  const peers = ['c-2', 'c-10', 'c-1'];
  assert.equal(nextControllerForWorkers('c-9', peers), 'c-10');
  assert.equal(nextControllerForWorkers('c-12', peers), 'c-1');
  assert.equal(nextControllerForWorkers('c-0', []), null);
});

test('other controllers should lead if the one that workers would try next is unreachable', () => {
  const view = { now: NOW, peers: [statusAt(20), statusAt(29)], silenceS: SILENCE_S };
  assert.ok(wouldLoseWorkerLeases(statusAt(20), view));
  assert.ok(wouldLoseWorkerLeases(null, view));
  assert.ok(!wouldLoseWorkerLeases(statusAt(29), view));
  const alone = { ...view, peers: [statusAt(20), null] };
  assert.ok(!wouldLoseWorkerLeases(statusAt(20), alone), 'no other controller is reachable');
});
