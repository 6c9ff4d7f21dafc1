import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { anyJobId, anyName, record, SEEDED } from '#testing';
import { encodeFrame, type Frame, FrameReader } from './frames.js';

const u32 = fc.integer({ min: 0, max: 0xffffffff });
const u53 = fc.nat(Number.MAX_SAFE_INTEGER);
const anyFrame: fc.Arbitrary<Frame> = fc.oneof(
  record({ kind: fc.constant('hello' as const), name: anyName }),
  record({ kind: fc.constant('abort' as const), job: anyJobId, ageMs: u32 }),
  record({
    kind: fc.constant('status' as const),
    incarnation: u53,
    sequence: u32,
    echo: fc.option(record({ incarnation: u53, sequence: u32 })),
    servedAgoMs: u32,
    refused: fc.boolean(),
    loaded: fc.boolean(),
    leading: fc.boolean(),
    mayLead: fc.boolean(),
    unreachable: fc.boolean(),
    newestLeader: record({ term: u53, name: anyName }),
    followerHeartbeats: u32,
    jobsRevision: u53,
    cancelledSince: fc.oneof(u53, fc.constant(Infinity)),
    cancelled: fc.array(record({ job: anyJobId, ageMs: u32 }), { maxLength: 5 }),
  }),
  record({
    kind: fc.constant('counts' as const),
    jobs: fc.array(record({ job: anyJobId, done: u32, running: u32 }), { maxLength: 5 }),
  }),
);

test('peer frames survive any cutting of the stream, and garbage is refused', () => {
  fc.assert(
    fc.property(fc.array(anyFrame), fc.integer({ min: 1, max: 30 }), (frames, step) => {
      const bytes = Buffer.concat(frames.map(encodeFrame));
      const reader = new FrameReader();
      const out: Frame[] = [];
      for (let i = 0; i < bytes.length; i += step) {
        out.push(...reader.push(bytes.subarray(i, i + step)));
      }
      assert.deepEqual(out, frames);
    }),
    SEEDED,
  );
  assert.throws(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n')));
});
