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

test('a stored record is decoded to the names in the code and encoded to the same stored form', () => {
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

test('decoding and encoding keep fields that a later version adds, and the order of all fields', () => {
  const later = { phase: 'prepared', grant: 4, added: true, ...REQUEST_FIELDS };
  const record = decodeMigration(later);
  assert.ok(record);
  assert.equal(JSON.stringify(encodeMigration(record)), JSON.stringify(later));
});

test('a stored result is decoded to the names in the code and encoded to the same stored form', () => {
  const stored = { outcome: 'refused', to: 'c-1', reason: 'a restart', why: 'c-1 is unreachable' };
  const result: MigrationResult = {
    outcome: 'refused',
    target: 'c-1',
    reason: 'a restart',
    failureReason: 'c-1 is unreachable',
  };
  assert.deepEqual(decodeMigrationResult(stored), result);
  assert.equal(JSON.stringify(encodeMigrationResult(result)), JSON.stringify(stored));
});

test('a record that is damaged or of an unknown form is decoded to null', () => {
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
