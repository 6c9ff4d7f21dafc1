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

function view(own: Partial<SourceView>): SourceView {
  return {
    now: 0,
    shard: 0,
    term: TERM,
    name: 'c-0',
    migration: null,
    paused: false,
    obstacle: () => null,
    limits: { prepareS: 8, switchS: 2 },
    ...own,
  };
}

function seen(record: MigrationRecord | null) {
  return { record, version: 9 };
}

function refusalOf(own: Partial<SourceView>): string | null {
  const { action } = stepSource(DECIDING, view(own));
  return action.kind === 'refuse' ? action.failureReason : null;
}

test('requests that can not be carried out are refused with the reason', () => {
  const asleep = () => 'c-1 was not heard lately';
  assert.equal(
    refusalOf({ migration: seen({ ...REQUEST, target: 'c-0' }) }),
    'c-0 owns the part already',
  );
  assert.match(refusalOf({ migration: seen({ ...REQUEST, fromTerm: 5 }) })!, /changed its owner/);
  assert.equal(
    refusalOf({ migration: seen(PREPARED), obstacle: asleep }),
    'c-1 was not heard lately',
  );
  assert.equal(
    refusalOf({ migration: seen(REQUEST), obstacle: asleep }),
    null,
    'it may wake in time',
  );
});

test('the leader waits for the target to be ready, but not for ever', () => {
  const move = seen(REQUEST);
  const { state, action } = stepSource(DECIDING, view({ migration: move, now: 100 }));
  assert.equal(action.kind, 'wait');
  assert.equal(stepSource(state, view({ migration: move, now: 107 })).action.kind, 'wait');
  const late = stepSource(state, view({ migration: move, now: 109 })).action;
  assert.equal(late.kind === 'refuse' && late.failureReason, 'c-1 was not prepared in time');
});

test('an unreadable record and one of a later term change nothing', () => {
  for (const move of [seen(null), seen({ ...PREPARED, fromTerm: TERM + 1 })]) {
    assert.deepEqual(stepSource(DECIDING, view({ migration: move })), {
      state: DECIDING,
      action: { kind: 'wait' },
    });
  }
});
