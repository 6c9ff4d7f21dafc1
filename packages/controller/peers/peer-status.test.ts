import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StatusFrame, StatusReference } from '#peer';
import { PeerStatusTable } from './peer-status.js';

const OWN_INCARNATION = 7;

function makeStatus(
  incarnation: number,
  sequence: number,
  echo: StatusReference | null,
): StatusFrame {
  return {
    kind: 'status',
    incarnation,
    sequence,
    echo,
    servedAgoMs: 500,
    refused: false,
    loaded: true,
    leading: false,
    mayLead: false,
    newestLeader: { term: 0, name: '' },
    unreachable: false,
    followerHeartbeats: 0,
    newestFencingToken: 0,
    jobsRevision: 0,
    cancelledSince: 0,
    cancelled: [],
  };
}

test('the age of a status counts from the frame that it echoes, however late it arrives', () => {
  const table = new PeerStatusTable(OWN_INCARNATION, ['c-1']);
  const first = table.beginRound(100);
  table.beginRound(101);
  assert.ok(table.accept('c-1', makeStatus(1, 1, first), 130));
  const status = table.get('c-1');
  assert.equal(status?.statedAfter, 100);
  assert.equal(status?.receivedAt, 130);
  assert.equal(status?.lastServedAt, 129.5);
  assert.deepEqual(table.echoFor('c-1'), { incarnation: 1, sequence: 1 });
});

test('a status that echoes an earlier incarnation, or nothing, proves no age', () => {
  const table = new PeerStatusTable(OWN_INCARNATION, ['c-1']);
  table.beginRound(100);
  table.accept('c-1', makeStatus(1, 1, { incarnation: 6, sequence: 1 }), 101);
  assert.equal(table.get('c-1')?.statedAfter, -Infinity);
  table.accept('c-1', makeStatus(1, 2, null), 102);
  assert.equal(table.get('c-1')?.statedAfter, -Infinity);
});

test('delayed frames replace neither newer frames nor those of a later incarnation', () => {
  const table = new PeerStatusTable(OWN_INCARNATION, ['c-1']);
  assert.ok(table.accept('c-1', makeStatus(1, 5, null), 10));
  assert.ok(!table.accept('c-1', makeStatus(1, 4, null), 11));
  assert.ok(table.accept('c-1', makeStatus(2, 1, null), 12));
  assert.ok(!table.accept('c-1', makeStatus(1, 6, null), 13));
  assert.equal(table.get('c-1')?.frame.incarnation, 2);
});

test('every peer in the settings has an entry, whether a status has arrived or not', () => {
  const table = new PeerStatusTable(OWN_INCARNATION, ['c-1', 'c-2']);
  table.accept('c-2', makeStatus(1, 1, null), 10);
  assert.equal(table.all()[0], null);
  assert.equal(table.all()[1]?.frame.incarnation, 1);
});
