import assert from 'node:assert/strict';
import { test } from 'node:test';
import { divideSockets } from './socket-shares.js';

test('server, direct commands and peers all get sockets, and together stay within the limit', () => {
  for (const [sockets, peers] of [
    [60, 0],
    [700, 6],
    [1908, 2],
    [2153, 6],
  ]) {
    const { serverConnections, directConnections } = divideSockets(sockets, peers);
    assert.ok(
      serverConnections >= 1 &&
        directConnections >= 1 &&
        serverConnections + directConnections + 4 * peers <= sockets,
    );
  }
});
