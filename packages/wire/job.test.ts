import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { anyJob, PROPERTY_TEST_OPTIONS } from '#testing';
import { decode, encode, MalformedBody } from './cbor.js';
import { jobToWire, parseJob } from './job.js';

test('a job that is encoded and decoded again is unchanged', () => {
  fc.assert(
    fc.property(anyJob, (job) => assert.deepEqual(parseJob(decode(encode(jobToWire(job)))), job)),
    PROPERTY_TEST_OPTIONS,
  );
});

test('a submission with a required field missing, or any field of a wrong type, is malformed', () => {
  const validJob = jobToWire({
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
    awaits: ['j-000000'],
  });
  const optional = ['rigs', 'yard', 'dueS', 'awaits'];
  for (const field of Object.keys(validJob)) {
    const withoutField = { ...validJob };
    delete withoutField[field];
    if (optional.includes(field)) parseJob(withoutField);
    else assert.throws(() => parseJob(withoutField), MalformedBody, field);
    assert.throws(() => parseJob({ ...validJob, [field]: { x: 1 } }), MalformedBody, field);
  }
  for (const pieces of [0, 100_001, 1.5, -1, 2 ** 60]) {
    assert.throws(() => parseJob({ ...validJob, pieces }), MalformedBody);
  }
  parseJob({ ...validJob, unknownField: [1, 2] });
});
