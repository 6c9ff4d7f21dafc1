import assert from 'node:assert/strict';
import { Socket } from 'node:net';
import { test } from 'node:test';
import { WorkerConnections } from './worker-connections.js';

test('a worker that connects again gives its old connection back', () => {
  // Guards against the half-open connections of a zone that was cut off: with those of its machines
  // that came back they used up the leader's sockets, and others could not send heartbeats.
  const connections = new WorkerConnections();
  const [first, second] = [new Socket(), new Socket()];
  connections.track('n-1', first);
  connections.track('n-1', first);
  assert.ok(!first.destroyed);
  connections.track('n-1', second);
  assert.ok(first.destroyed && !second.destroyed);
});
