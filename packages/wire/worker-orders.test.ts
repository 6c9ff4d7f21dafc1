import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { anyAmount, anyCount, anyTaskRef, recordArbitrary, PROPERTY_TEST_OPTIONS } from '#testing';
import { decode, encode } from './cbor.js';
import { answerToWire } from './worker-orders.js';
import { parseHeartbeatAnswer } from './serving/index.js';

test('orders that are encoded and then decoded by a worker are unchanged', () => {
  const order = fc.oneof(
    recordArbitrary({ op: fc.constant('start' as const), ...anyTaskRef }),
    recordArbitrary({ op: fc.constant('forget' as const), ...anyTaskRef }),
    recordArbitrary({ op: fc.constant('stop' as const), graceS: anyAmount, ...anyTaskRef }),
  );
  fc.assert(
    fc.property(anyCount, fc.array(order), (fencingToken, orders) => {
      assert.deepEqual(parseHeartbeatAnswer(decode(encode(answerToWire(fencingToken, orders)))), {
        fencingToken,
        orders,
      });
    }),
    PROPERTY_TEST_OPTIONS,
  );
});
