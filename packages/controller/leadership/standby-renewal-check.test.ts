import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makePeerStatus, STATUS_LEADER_TERM as TERM } from '#testing';
import type { PeerStatus } from '../peers/peer-status.js';
import { StandbyRenewalCheck, StandbyView } from './standby-renewal-check.js';

const LIMITS = { peerCount: 2, silenceS: 2, graceS: 12 };
const LEADER_INCARNATION = 5;

const leadingStatus = (at: number) =>
  makePeerStatus(at, { incarnation: LEADER_INCARNATION, leading: true, mayLead: true });
/** The status of the leader's next incarnation, which could not load the records. */
const restartedStatus = (at: number) =>
  makePeerStatus(at, { incarnation: LEADER_INCARNATION + 1, loaded: false });

function viewAt(now: number, leader: PeerStatus | null, over: Partial<StandbyView> = {}) {
  return {
    now,
    term: TERM,
    mayLead: false,
    jobsCurrentAt: 10,
    jobsRevision: 100,
    failingSince: 10,
    peers: [leader, makePeerStatus(now, {})],
    ...over,
  };
}

/** Whether a follower may renew at second 20, after statuses of the running leader until 18 and `leader` at 20. */
function renewsAt20(leader: PeerStatus | null, over: Partial<StandbyView> = {}): boolean {
  const check = new StandbyRenewalCheck(LIMITS);
  for (let now = 10; now <= 18; now++)
    check.record(viewAt(now, leadingStatus(now)), leadingStatus(now));
  const view = viewAt(20, leader, over);
  check.record(view, leader);
  return check.mayRenew(view, leader);
}

test('leases are renewed for a leader whose process has a new incarnation, or that has stepped down', () => {
  assert.ok(renewsAt20(restartedStatus(20)));
  assert.ok(renewsAt20(makePeerStatus(20, { incarnation: LEADER_INCARNATION })));
});

test('the newest fencing token that the leader has stated is known after its process has restarted', () => {
  // Guards against turning away workers that have seen a fencing token of the ended leader above its term.
  const check = new StandbyRenewalCheck(LIMITS);
  const stated = makePeerStatus(18, {
    incarnation: LEADER_INCARNATION,
    leading: true,
    newestFencingToken: TERM + 40,
  });
  check.record(viewAt(18, stated), stated);
  check.record(viewAt(20, restartedStatus(20)), restartedStatus(20));
  assert.equal(check.newestFencingToken, TERM + 40);
  const ofOlderTerm = makePeerStatus(21, {
    leading: true,
    newestLeader: { term: TERM - 1, name: 'c-0' },
    newestFencingToken: TERM + 90,
  });
  check.record(viewAt(21, ofOlderTerm), ofOlderTerm);
  assert.equal(check.newestFencingToken, TERM + 40);
});

test('leases are not renewed for a leader that may be running', () => {
  assert.ok(!renewsAt20(leadingStatus(20)));
  assert.ok(!renewsAt20(null));
  // Without any status of the incarnation that led, a restart can't be detected.
  const check = new StandbyRenewalCheck(LIMITS);
  const view = viewAt(20, restartedStatus(20));
  check.record(view, restartedStatus(20));
  assert.ok(!check.mayRenew(view, restartedStatus(20)));
});

test('leases are not renewed if any controller may lead', () => {
  const served = { ...makePeerStatus(20, { refused: false }), lastServedAt: 19 };
  assert.ok(!renewsAt20(restartedStatus(20), { peers: [restartedStatus(20), served] }));
  const newer = makePeerStatus(20, { newestLeader: { term: TERM + 1, name: 'c-2' } });
  assert.ok(!renewsAt20(restartedStatus(20), { peers: [restartedStatus(20), newer] }));
  assert.ok(!renewsAt20(restartedStatus(20), { peers: [restartedStatus(20), null] }));
  assert.ok(!renewsAt20(restartedStatus(20), { mayLead: true }));
});

test('renewal ends in time for cancellations that the ended leader may have confirmed last', () => {
  const check = new StandbyRenewalCheck(LIMITS);
  for (let now = 10; now <= 18; now++)
    check.record(viewAt(now, leadingStatus(now)), leadingStatus(now));
  const renews = (now: number) => {
    const view = viewAt(now, restartedStatus(now));
    check.record(view, restartedStatus(now));
    return check.mayRenew(view, restartedStatus(now));
  };
  // The last complete status of the leader counts as of second 17.5.
  assert.ok(renews(29));
  assert.ok(!renews(30));
});
