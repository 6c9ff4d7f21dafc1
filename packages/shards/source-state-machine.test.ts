import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MigrationRecord } from './migration-record.js';
import { DECIDING, type SourceView, stepSource } from './source-state-machine.js';

const TERM = 7;
const REQUEST: MigrationRecord = {
  fromTerm: TERM,
  target: 'c-1',
  reason: '',
  phase: 'requested',
};
const PREPARED: MigrationRecord = { ...REQUEST, phase: 'prepared', leaseId: 4 };

function createView(overrides: Partial<SourceView>): SourceView {
  return {
    now: 0,
    shard: 0,
    term: TERM,
    name: 'c-0',
    migration: null,
    paused: false,
    findObstacle: () => null,
    limits: { prepareS: 8, switchS: 2 },
    ...overrides,
  };
}

function toObserved(record: MigrationRecord | null) {
  return { record, version: 9 };
}

function findRefusalReason(overrides: Partial<SourceView>): string | null {
  const { action } = stepSource(DECIDING, createView(overrides));
  return action.kind === 'refuse' ? action.failureReason : null;
}

test('a request that cannot be carried out is refused with the reason', () => {
  const unreachable = () => 'c-1 was not heard lately';
  assert.equal(
    findRefusalReason({ migration: toObserved({ ...REQUEST, target: 'c-0' }) }),
    'c-0 owns the part already',
  );
  assert.match(
    findRefusalReason({ migration: toObserved({ ...REQUEST, fromTerm: 5 }) })!,
    /changed its owner/,
  );
  assert.equal(
    findRefusalReason({ migration: toObserved(PREPARED), findObstacle: unreachable }),
    'c-1 was not heard lately',
  );
  assert.equal(
    findRefusalReason({ migration: toObserved(REQUEST), findObstacle: unreachable }),
    null,
    'the target may become reachable in time',
  );
});

test('the leader refuses a request if its target is not prepared within prepareS', () => {
  const migration = toObserved(REQUEST);
  const { state, action } = stepSource(DECIDING, createView({ migration, now: 100 }));
  assert.equal(action.kind, 'wait');
  assert.equal(stepSource(state, createView({ migration, now: 107 })).action.kind, 'wait');
  const late = stepSource(state, createView({ migration, now: 109 })).action;
  assert.equal(late.kind === 'refuse' && late.failureReason, 'c-1 was not prepared in time');
});

test('an unreadable record and one of a later term leave the state unchanged', () => {
  for (const migration of [toObserved(null), toObserved({ ...PREPARED, fromTerm: TERM + 1 })]) {
    assert.deepEqual(stepSource(DECIDING, createView({ migration })), {
      state: DECIDING,
      action: { kind: 'wait' },
    });
  }
});
