import assert from 'node:assert/strict';
import { test } from 'node:test';
import { socketShares } from './socket-shares.js';

test('sockets are shared by need, within the limit', () => {
  for (const [sockets, peers] of [
    [60, 0],
    [700, 6],
    [1908, 2],
    [2153, 6],
  ]) {
    const { server, direct } = socketShares(sockets, peers);
    assert.ok(server >= 1 && direct >= 1 && server + direct + 4 * peers <= sockets);
  }
});
