import assert from 'node:assert/strict';
import { test } from 'node:test';
import { migrationKey } from '#shards';
import { encodeLeader, shardKey } from '#store';
import { canonicalKey } from './canonical.js';
import { initialState, type ModelState, SHARD } from './state.js';

const BUDGET = { requests: 1, crashes: 0, lapses: 0, lostAnswers: 0 };

/** Creates a state with a transaction in flight, whose lease ids and revisions are shifted by the offsets. */
function createState(leaseOffset: number, revisionOffset: number): ModelState {
  const start = initialState(BUDGET);
  const leaseId = 2 + leaseOffset;
  const version = 1 + revisionOffset;
  const shard = { leader: 'a', leaseId: 1 + leaseOffset, version };
  const { a, b } = start.controllers;
  const value = encodeLeader({ leader: 'b', leaseId });
  return {
    ...start,
    revision: version,
    shard,
    liveLeases: [1 + leaseOffset, leaseId],
    nextLeaseId: 3 + leaseOffset,
    controllers: {
      a: { ...a, leaseId: 1 + leaseOffset, shard, term: version },
      b: { ...b, leaseId, shard },
    },
    inFlight: [
      {
        from: 'b',
        incarnation: 1,
        transaction: {
          conditions: [{ key: migrationKey(SHARD), version }],
          changes: [{ put: shardKey(SHARD), value, lease: leaseId }],
        },
      },
    ],
  };
}

test('states that differ only in lease ids have the same key', () => {
  assert.equal(canonicalKey(createState(7, 0)), canonicalKey(createState(0, 0)));
});

test('states that differ only in revision numbers have the same key', () => {
  assert.equal(canonicalKey(createState(0, 5)), canonicalKey(createState(0, 0)));
});

test('states whose shard is held by the leases of different controllers have different keys', () => {
  const state = createState(0, 0);
  const other = { ...state, shard: { leader: 'a', leaseId: 2, version: 1 } };
  assert.notEqual(canonicalKey(other), canonicalKey(state));
});
