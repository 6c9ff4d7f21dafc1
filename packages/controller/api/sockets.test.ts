import assert from 'node:assert/strict';
import { Socket } from 'node:net';
import { test } from 'node:test';
import { socketShares, WorkerConnections } from './sockets.js';

test('sockets are shared by need, and a worker that reports anew gives its old one back', () => {
  for (const [sockets, peers] of [
    [60, 0],
    [700, 6],
    [1908, 2],
    [2153, 6],
  ]) {
    const { server, direct } = socketShares(sockets, peers);
    assert.ok(server >= 1 && direct >= 1 && server + direct + 4 * peers <= sockets);
  }
  // Guards against the half-open connections of a zone that was cut off: with those of its machines
  // that came back they used up the owner's sockets, and others could not report.
  const connections = new WorkerConnections();
  const [first, second] = [new Socket(), new Socket()];
  connections.track('n-1', first);
  connections.track('n-1', first);
  assert.ok(!first.destroyed);
  connections.track('n-1', second);
  assert.ok(first.destroyed && !second.destroyed);
});
