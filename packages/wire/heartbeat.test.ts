import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { anyReport, SEEDED } from '#testing';
import { decode, encode } from './cbor.js';
import { parseHeartbeat, heartbeatToWire } from './heartbeat.js';

test('heartbeats survive their way through the wire format', () => {
  fc.assert(
    fc.property(anyReport, (heartbeat) =>
      assert.deepEqual(parseHeartbeat(decode(encode(heartbeatToWire(heartbeat)))), heartbeat),
    ),
    SEEDED,
  );
});
