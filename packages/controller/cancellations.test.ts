import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cancellations } from './cancellations.js';

test('what is told holds all newer records and all requests that may still be recorded', () => {
  const known = new Cancellations(100, 60);
  known.noteRecorded('j-1', 10);
  known.noteRecorded('j-2', 20);
  known.noteRequested('j-3', 5);
  known.noteRequested('j-2', 5);
  assert.deepEqual(known.listSince(10, 6), { since: 10, jobs: ['j-2', 'j-3'] });
  assert.deepEqual(known.listSince(20, 6).jobs.sort(), ['j-2', 'j-3']);
  // A request is dropped after its time; a record stays.
  assert.deepEqual(known.listSince(0, 66), { since: 0, jobs: ['j-1', 'j-2'] });
});

test('a list that lacks older records, or is too long, does not claim to be complete', () => {
  const known = new Cancellations(10, 60);
  for (let i = 1; i <= 25; i++) known.noteRecorded(`j-${i}`, i);
  const { since, jobs } = known.listSince(0, 0);
  assert.ok(since > 0);
  for (let i = since + 1; i <= 25; i++) assert.ok(jobs.includes(`j-${i}`));
  const many = new Cancellations(10_000, 60);
  for (let i = 1; i <= 3000; i++) many.noteRecorded(`j-${i}`, i);
  assert.equal(many.listSince(0, 0).since, Infinity);
  assert.equal(many.listSince(2000, 0).since, 2000);
});
