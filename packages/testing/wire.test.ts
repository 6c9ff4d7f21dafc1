import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  decode,
  encode,
  Job,
  jobToWire,
  MalformedBody,
  answerToWire,
  parseJob,
  parseReport,
  Report,
  reportToWire,
} from '#wire';
import { parseReportAnswer } from '#wire/serving';
import { encodeFrame, Frame, FrameReader } from '#peer';
import { record, SEEDED } from './generators.js';

const name = fc.string({ minLength: 1, maxLength: 40 });
const amount = fc.double({ min: 0, max: 1e6, noNaN: true }).map(Math.abs);
const count = fc.integer({ min: 0, max: 2 ** 50 });
const jobId = fc.integer({ min: 0, max: 999_999 }).map((n) => `j-${String(n).padStart(6, '0')}`);

const job: fc.Arbitrary<Job> = record({
  id: jobId,
  class: name,
  team: name,
  kind: fc.constantFrom('array', 'gang', 'service'),
  rank: fc.integer({ min: 0, max: 3 }),
  tasks: fc.integer({ min: 1, max: 100_000 }),
  cpus: amount,
  gpus: amount,
  memory: amount,
  image: name,
  imageGb: amount,
  types: fc.option(fc.array(name, { maxLength: 4 })),
  zone: fc.option(name),
  oneZone: fc.boolean(),
  spread: fc.boolean(),
  spot: fc.boolean(),
  estimateS: amount,
  checkpointS: amount,
  saveS: amount,
  deadlineS: fc.option(amount),
});

const task = { job: jobId, index: fc.integer({ min: 0, max: 99_999 }), attempt: count };
const report: fc.Arbitrary<Report> = record({
  machine: name,
  addr: name,
  type: name,
  zone: name,
  spot: fc.boolean(),
  session: count,
  seq: count,
  token: count,
  noticeS: fc.option(amount),
  tasks: fc.array(
    record({
      ...task,
      state: fc.constantFrom('fetching', 'waiting', 'running', 'saving', 'exited'),
      cause: fc.option(fc.constantFrom('done', 'stopped', 'peers', 'alone', 'error', 'no_room')),
      saved: fc.boolean(),
    }),
    { maxLength: 5 },
  ) as fc.Arbitrary<Report['tasks']>,
});

test('jobs and reports survive their way through the wire format', () => {
  fc.assert(
    fc.property(job, (j) => assert.deepEqual(parseJob(decode(encode(jobToWire(j)))), j)),
    SEEDED,
  );
  fc.assert(
    fc.property(report, (r) => assert.deepEqual(parseReport(decode(encode(reportToWire(r)))), r)),
    SEEDED,
  );
});

test('orders survive their way to the worker', () => {
  const order = fc.oneof(
    record({ op: fc.constant('start' as const), ...task }),
    record({ op: fc.constant('forget' as const), ...task }),
    record({ op: fc.constant('stop' as const), graceS: amount, ...task }),
  );
  fc.assert(
    fc.property(count, fc.array(order), (token, orders) => {
      assert.deepEqual(parseReportAnswer(decode(encode(answerToWire(token, orders)))), {
        token,
        orders,
      });
    }),
    SEEDED,
  );
});

test('any bytes decode or are called malformed, never anything else', () => {
  const check = (bytes: Uint8Array) => {
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
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), check), SEEDED);
  // Truncated bodies, nesting as deep as a body allows, and a number beyond any integer type.
  fc.assert(
    fc.property(job, fc.nat(400), (j, cut) => check(encode(jobToWire(j)).subarray(0, cut))),
    SEEDED,
  );
  check(new Uint8Array(65_536).fill(0x81));
  check(Uint8Array.from([0x1b, 255, 255, 255, 255, 255, 255, 255, 255]));
});

test('a submission with any field missing or of a wrong kind is malformed', () => {
  const good = jobToWire({
    id: 'j-000001',
    class: 'c',
    team: 't',
    kind: 'gang',
    rank: 1,
    tasks: 2,
    cpus: 1,
    gpus: 0,
    memory: 1,
    image: 'i',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    estimateS: 0,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
  });
  const optional = ['rigs', 'yard', 'dueS'];
  for (const field of Object.keys(good)) {
    const without = { ...good };
    delete without[field];
    if (optional.includes(field)) parseJob(without);
    else assert.throws(() => parseJob(without), MalformedBody, field);
    assert.throws(() => parseJob({ ...good, [field]: { x: 1 } }), MalformedBody, field);
  }
  for (const pieces of [0, 100_001, 1.5, -1, 2 ** 60]) {
    assert.throws(() => parseJob({ ...good, pieces }), MalformedBody);
  }
  parseJob({ ...good, unknownField: [1, 2] });
});

test('peer frames survive any cutting of the stream, and garbage is refused', () => {
  const u32 = fc.integer({ min: 0, max: 0xffffffff });
  const u53 = fc.nat(Number.MAX_SAFE_INTEGER);
  const frame: fc.Arbitrary<Frame> = fc.oneof(
    record({ kind: fc.constant('hello' as const), name }),
    record({ kind: fc.constant('abort' as const), job: jobId, ageMs: u32 }),
    record({
      kind: fc.constant('status' as const),
      life: u53,
      sequence: u32,
      echo: fc.option(record({ life: u53, sequence: u32 })),
      servedAgoMs: u32,
      refused: fc.boolean(),
      loaded: fc.boolean(),
      owner: fc.boolean(),
      mayOwn: fc.boolean(),
      unheard: fc.boolean(),
      holder: record({ term: u53, name }),
      unownedReports: u32,
      jobsRevision: u53,
      cancelledSince: fc.oneof(u53, fc.constant(Infinity)),
      cancelled: fc.array(record({ job: jobId, ageMs: u32 }), { maxLength: 5 }),
    }),
    record({
      kind: fc.constant('counts' as const),
      jobs: fc.array(record({ job: jobId, done: u32, running: u32 }), { maxLength: 5 }),
    }),
  );
  fc.assert(
    fc.property(fc.array(frame), fc.integer({ min: 1, max: 30 }), (frames, step) => {
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
