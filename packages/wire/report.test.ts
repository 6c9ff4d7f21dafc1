import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { anyReport, SEEDED } from '#testing';
import { decode, encode } from './cbor.js';
import { parseReport, reportToWire } from './report.js';

test('reports survive their way through the wire format', () => {
  fc.assert(
    fc.property(anyReport, (report) =>
      assert.deepEqual(parseReport(decode(encode(reportToWire(report)))), report),
    ),
    SEEDED,
  );
});
