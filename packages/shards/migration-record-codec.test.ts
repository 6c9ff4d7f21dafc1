import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MoveRecord, MoveResult } from './migration-record.js';
import {
  decodeMove,
  decodeMoveResult,
  encodeMove,
  encodeMoveResult,
} from './migration-record-codec.js';

const TERM = 7;
const REQUEST_FIELDS = { fromTerm: TERM, to: 'c-1', reason: '' };
const REQUEST = { ...REQUEST_FIELDS, phase: 'requested' };
const PREPARED = { ...REQUEST, phase: 'prepared', grant: 4 };

test('a stored record is read in the terms of the code and written as it was', () => {
  const prepared: MoveRecord = {
    fromTerm: TERM,
    target: 'c-1',
    reason: '',
    phase: 'prepared',
    leaseId: 4,
  };
  assert.deepEqual(decodeMove(PREPARED), prepared);
  assert.deepEqual(encodeMove(prepared), PREPARED);
  const { leaseId, ...request } = { ...prepared, phase: 'requested' } as const;
  assert.equal(leaseId, 4);
  assert.deepEqual(decodeMove(REQUEST), request);
  assert.deepEqual(encodeMove(request), REQUEST);
});

test('fields that a later version adds are kept, in their order', () => {
  const later = { phase: 'prepared', grant: 4, added: true, ...REQUEST_FIELDS };
  const record = decodeMove(later);
  assert.ok(record);
  assert.equal(JSON.stringify(encodeMove(record)), JSON.stringify(later));
});

test('the result of a migration is read in the terms of the code and written as it was', () => {
  const stored = { outcome: 'refused', to: 'c-1', reason: 'a restart', why: 'c-1 is asleep' };
  const result: MoveResult = {
    outcome: 'refused',
    target: 'c-1',
    reason: 'a restart',
    failureReason: 'c-1 is asleep',
  };
  assert.deepEqual(decodeMoveResult(stored), result);
  assert.equal(JSON.stringify(encodeMoveResult(result)), JSON.stringify(stored));
});

test('records that are damaged or of an unknown form are not read', () => {
  assert.notEqual(decodeMove(PREPARED), null);
  const damaged = [
    null,
    'moved',
    {},
    { ...REQUEST, to: '' },
    { ...REQUEST, phase: 'begun' },
    { ...REQUEST, phase: 'quiesced' },
    { ...PREPARED, fromTerm: -1 },
    { ...PREPARED, grant: 'four' },
    { ...REQUEST, reason: 'x'.repeat(201) },
  ];
  for (const value of damaged) assert.equal(decodeMove(value), null, JSON.stringify(value));
});
