import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { anyHeartbeat, PROPERTY_TEST_OPTIONS } from '#testing';
import { decode, encode } from './cbor.js';
import { parseHeartbeat, heartbeatToWire } from './heartbeat.js';

test('a heartbeat that is encoded and decoded again is unchanged', () => {
  fc.assert(
    fc.property(anyHeartbeat, (heartbeat) =>
      assert.deepEqual(parseHeartbeat(decode(encode(heartbeatToWire(heartbeat)))), heartbeat),
    ),
    PROPERTY_TEST_OPTIONS,
  );
});
