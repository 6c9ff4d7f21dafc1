import assert from 'node:assert/strict';
import { Socket } from 'node:net';
import { test } from 'node:test';
import { WorkerConnections } from './worker-connections.js';

test('the old connection of a worker that connects again is closed', () => {
  // Guards against half-open connections after a partition of a zone: together with the new connections
  // of the zone's machines they used up the leader's sockets, and other workers could not send heartbeats.
  const connections = new WorkerConnections();
  const [first, second] = [new Socket(), new Socket()];
  connections.track('n-1', first);
  connections.track('n-1', first);
  assert.ok(!first.destroyed);
  connections.track('n-1', second);
  assert.ok(first.destroyed && !second.destroyed);
});
