import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { anyJob, PROPERTY_TEST_OPTIONS } from '#testing';
import { decode, encode, MalformedBody } from './cbor.js';
import { jobToWire, parseJob } from './job.js';

test('decoding any bytes, and reading a job from the result, throws no error but MalformedBody', () => {
  const checkDecoding = (bytes: Uint8Array) => {
    try {
      const value = decode(bytes);
      try {
        parseJob(value);
      } catch (err) {
        assert.ok(err instanceof MalformedBody);
      }
    } catch (err) {
      assert.ok(err instanceof MalformedBody, String(err));
    }
  };
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), checkDecoding), PROPERTY_TEST_OPTIONS);
  // Truncated bodies, nesting as deep as the size of a body allows, and an integer beyond JavaScript's safe range.
  fc.assert(
    fc.property(anyJob, fc.nat(400), (job, length) =>
      checkDecoding(encode(jobToWire(job)).subarray(0, length)),
    ),
    PROPERTY_TEST_OPTIONS,
  );
  checkDecoding(new Uint8Array(65_536).fill(0x81));
  checkDecoding(Uint8Array.from([0x1b, 255, 255, 255, 255, 255, 255, 255, 255]));
});
