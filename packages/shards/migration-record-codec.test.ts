import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MigrationRecord, MigrationResult } from './migration-record.js';
import {
  decodeMigration,
  decodeMigrationResult,
  encodeMigration,
  encodeMigrationResult,
} from './migration-record-codec.js';

const TERM = 7;
const REQUEST_FIELDS = { fromTerm: TERM, to: 'c-1', reason: '' };
const REQUEST = { ...REQUEST_FIELDS, phase: 'requested' };
const PREPARED = { ...REQUEST, phase: 'prepared', grant: 4 };

test('a stored record is read in the terms of the code and written as it was', () => {
  const prepared: MigrationRecord = {
    fromTerm: TERM,
    target: 'c-1',
    reason: '',
    phase: 'prepared',
    leaseId: 4,
  };
  assert.deepEqual(decodeMigration(PREPARED), prepared);
  assert.deepEqual(encodeMigration(prepared), PREPARED);
  const { leaseId, ...request } = { ...prepared, phase: 'requested' } as const;
  assert.equal(leaseId, 4);
  assert.deepEqual(decodeMigration(REQUEST), request);
  assert.deepEqual(encodeMigration(request), REQUEST);
});

test('fields that a later version adds are kept, in their order', () => {
  const later = { phase: 'prepared', grant: 4, added: true, ...REQUEST_FIELDS };
  const record = decodeMigration(later);
  assert.ok(record);
  assert.equal(JSON.stringify(encodeMigration(record)), JSON.stringify(later));
});

test('the result of a migration is read in the terms of the code and written as it was', () => {
  const stored = { outcome: 'refused', to: 'c-1', reason: 'a restart', why: 'c-1 is asleep' };
  const result: MigrationResult = {
    outcome: 'refused',
    target: 'c-1',
    reason: 'a restart',
    failureReason: 'c-1 is asleep',
  };
  assert.deepEqual(decodeMigrationResult(stored), result);
  assert.equal(JSON.stringify(encodeMigrationResult(result)), JSON.stringify(stored));
});

test('records that are damaged or of an unknown form are not read', () => {
  assert.notEqual(decodeMigration(PREPARED), null);
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
  for (const value of damaged) assert.equal(decodeMigration(value), null, JSON.stringify(value));
});
