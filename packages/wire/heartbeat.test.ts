import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { anyHeartbeat, SEEDED } from '#testing';
import { decode, encode } from './cbor.js';
import { parseHeartbeat, heartbeatToWire } from './heartbeat.js';

test('a heartbeat that is encoded and decoded again is unchanged', () => {
  fc.assert(
    fc.property(anyHeartbeat, (heartbeat) =>
      assert.deepEqual(parseHeartbeat(decode(encode(heartbeatToWire(heartbeat)))), heartbeat),
    ),
    SEEDED,
  );
});
