import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { anyJobId, anyName, recordArbitrary, PROPERTY_TEST_OPTIONS } from '#testing';
import { encodeFrame, FrameReader } from './frame-codec.js';
import type { Frame } from './frames.js';

const u32 = fc.integer({ min: 0, max: 0xffffffff });
const u53 = fc.nat(Number.MAX_SAFE_INTEGER);
const anyFrame: fc.Arbitrary<Frame> = fc.oneof(
  recordArbitrary({ kind: fc.constant('hello' as const), name: anyName }),
  recordArbitrary({ kind: fc.constant('cancel' as const), job: anyJobId, ageMs: u32 }),
  recordArbitrary({
    kind: fc.constant('status' as const),
    incarnation: u53,
    sequence: u32,
    echo: fc.option(recordArbitrary({ incarnation: u53, sequence: u32 })),
    servedAgoMs: u32,
    refused: fc.boolean(),
    loaded: fc.boolean(),
    leading: fc.boolean(),
    mayLead: fc.boolean(),
    unreachable: fc.boolean(),
    newestLeader: recordArbitrary({ term: u53, name: anyName }),
    followerHeartbeats: u32,
    newestFencingToken: u53,
    jobsRevision: u53,
    cancelledSince: fc.oneof(u53, fc.constant(Infinity)),
    cancelled: fc.array(recordArbitrary({ job: anyJobId, ageMs: u32 }), { maxLength: 5 }),
  }),
  recordArbitrary({
    kind: fc.constant('counts' as const),
    jobs: fc.array(recordArbitrary({ job: anyJobId, done: u32, running: u32 }), { maxLength: 5 }),
  }),
);

/** Frames and their bytes in hexadecimal, which other versions of the controller also read and write. */
const KNOWN_FRAMES: { frame: Frame; bytes: string }[] = [
  {
    frame: { kind: 'hello', name: 'berth-1' },
    bytes: '0000000a01000762657274682d31',
  },
  {
    frame: { kind: 'cancel', job: 'j-000412', ageMs: 1500 },
    bytes: '0000000f0300086a2d303030343132000005dc',
  },
  {
    frame: {
      kind: 'status',
      incarnation: 2 ** 52 + 1,
      sequence: 7,
      echo: { incarnation: 3, sequence: 9 },
      servedAgoMs: 250,
      refused: true,
      loaded: false,
      leading: true,
      mayLead: false,
      unreachable: true,
      newestLeader: { term: 65, name: 'berth-0' },
      followerHeartbeats: 12,
      newestFencingToken: 0,
      jobsRevision: 400,
      cancelledSince: Infinity,
      cancelled: [{ job: 'j-1', ageMs: 0 }],
    },
    bytes:
      '000000500200100000000000010000000735000000000000000300000009000000fa0000000c0000' +
      '000000000041000762657274682d300000000000000190ffffffffffffffff0000000100036a2d31' +
      '00000000',
  },
  {
    frame: {
      kind: 'status',
      incarnation: 1,
      sequence: 2,
      echo: null,
      servedAgoMs: 0xffffffff,
      refused: false,
      loaded: true,
      leading: false,
      mayLead: true,
      unreachable: false,
      newestLeader: { term: 0, name: '' },
      followerHeartbeats: 0,
      newestFencingToken: 0,
      jobsRevision: 0,
      cancelledSince: 5,
      cancelled: [],
    },
    bytes:
      '00000034020000000000000001000000020affffffff000000000000000000000000000000000000' +
      '00000000000000000000000500000000',
  },
  {
    frame: {
      kind: 'status',
      incarnation: 1,
      sequence: 2,
      echo: null,
      servedAgoMs: 0,
      refused: false,
      loaded: true,
      leading: true,
      mayLead: true,
      unreachable: false,
      newestLeader: { term: 65, name: '' },
      followerHeartbeats: 0,
      newestFencingToken: 0x1234,
      jobsRevision: 0,
      cancelledSince: 5,
      cancelled: [],
    },
    bytes:
      '0000003c020000000000000001000000020e00000000000000000000000000000041000000000000' +
      '000000000000000000000005000000000000000000001234',
  },
  {
    frame: { kind: 'counts', jobs: [{ job: 'j-7', done: 3, running: 13 }] },
    bytes: '00000012040000000100036a2d37000000030000000d',
  },
];

test('peer frames are encoded to and decoded from the bytes that other versions use', () => {
  for (const { frame, bytes } of KNOWN_FRAMES) {
    assert.equal(encodeFrame(frame).toString('hex'), bytes);
    assert.deepEqual(new FrameReader().push(Buffer.from(bytes, 'hex')), [frame]);
  }
});

test('frames are decoded from chunks of any size, and bytes of another protocol are rejected', () => {
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
    PROPERTY_TEST_OPTIONS,
  );
  assert.throws(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n')));
});
