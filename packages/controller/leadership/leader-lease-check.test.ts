import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { aPeerStatus, SEEDED, STATED_TERM as TERM } from '#testing';
import { isIsolatedFromWorkers, LeaderLeaseCheck, LeaderLeaseView } from './leader-lease-check.js';
import type { PeerStatus } from '../peers/peer-status.js';
import { checkWorkerTimes, leaderGraceS } from '../settings/time-bounds.js';

const LIMITS = { peerCount: 2, silenceS: 2, graceS: 12 };

/** The view of a leader that the state service has refused since second 10. */
function viewAt(now: number, peers: (PeerStatus | null)[], over: Partial<LeaderLeaseView> = {}) {
  return {
    now,
    term: TERM,
    leaseProvenUntil: 13,
    leaseRenewedAt: 10,
    jobsCurrentAt: 10,
    jobsRevision: 100,
    failingSince: 10,
    peers,
    ...over,
  };
}

function evaluateOnce(view: LeaderLeaseView) {
  return new LeaderLeaseCheck(LIMITS).evaluate(view);
}

test('a leader keeps its lease in an outage while all peers attest that the state service refuses them', () => {
  const check = new LeaderLeaseCheck(LIMITS);
  for (let now = 10; now < 200; now++) {
    const expected = now < 13 ? 'granted' : 'attested';
    assert.equal(check.evaluate(viewAt(now, [aPeerStatus(now), aPeerStatus(now)])), expected);
  }
  // Once one peer falls silent, the leader may act only for `graceS` after that peer's last proof.
  const silent = (now: number) => viewAt(now, [aPeerStatus(now), aPeerStatus(199)]);
  assert.equal(check.evaluate(silent(205)), 'grace');
  assert.equal(check.evaluate(silent(209)), 'grace');
  assert.equal(check.evaluate(silent(211)), 'none');
});

test('without a complete attestation of every peer, the lease ends after the grace period', () => {
  const incomplete: [string, PeerStatus | null][] = [
    ['never stated anything', null],
    ['has read no status frame of this controller', { ...aPeerStatus(20), statedAfter: -Infinity }],
    ['restarted and has not loaded the records', aPeerStatus(20, { loaded: false })],
    ['may lead', aPeerStatus(20, { mayLead: true })],
    ['has too many cancellations to list', aPeerStatus(20, { cancelledSince: Infinity })],
    ['its last request was served', aPeerStatus(20, { refused: false })],
  ];
  for (const [why, peer] of incomplete) {
    assert.equal(evaluateOnce(viewAt(20, [aPeerStatus(20), peer])), 'grace', why);
    assert.equal(evaluateOnce(viewAt(22, [aPeerStatus(22), peer])), 'none', why);
  }
});

test('the attestation of a silent peer counts as of the time when it was made', () => {
  const silent = aPeerStatus(17);
  assert.equal(evaluateOnce(viewAt(20, [aPeerStatus(20), silent])), 'grace');
  assert.equal(evaluateOnce(viewAt(28, [aPeerStatus(28), silent])), 'grace');
  assert.equal(evaluateOnce(viewAt(29, [aPeerStatus(29), silent])), 'none');
});

test('the lease ends immediately if the state service serves a peer, or if a peer knows a newer term', () => {
  const served = { ...aPeerStatus(20, { refused: false }), lastServedAt: 19 };
  assert.equal(evaluateOnce(viewAt(20, [aPeerStatus(20), served])), 'none');
  // Guards against a rule that also required a failed request of the leader after the peer was served. A partition
  // dropped requests silently, so each failure showed only a second later. The peer always seemed to be served after
  // the newest failure, and the leader kept acting indefinitely.
  assert.equal(evaluateOnce(viewAt(20, [null, { ...served, lastServedAt: 19.9 }])), 'none');
  const newer = aPeerStatus(12, { newestLeader: { term: TERM + 1, name: 'c-1' } });
  assert.equal(evaluateOnce(viewAt(20, [aPeerStatus(20), newer])), 'none');
  // Guards against the loss of the whole fleet: the state service refused only the leader for two seconds, and then
  // an outage for all controllers began. The leader stopped acting for the whole outage, though the state service
  // served no peer by then.
  const servedBefore = { ...aPeerStatus(20), lastServedAt: 12 };
  assert.equal(evaluateOnce(viewAt(20, [aPeerStatus(20), servedBefore])), 'attested');
});

test('a live election lease does not help once cancellations may have been unknown for the grace period', () => {
  const over = { leaseProvenUntil: 100, leaseRenewedAt: 99 };
  assert.equal(evaluateOnce(viewAt(21, [null, null], over)), 'granted');
  assert.equal(evaluateOnce(viewAt(23, [null, null], over)), 'none');
});

test('without any peer status, the lease is never held past the grace period', () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 100, noNaN: true }),
      fc.nat(100),
      fc.nat(100),
      (now, jobsCurrentAt, leaseRenewedAt) => {
        const view = viewAt(now, [null, null], { jobsCurrentAt, leaseRenewedAt });
        const state = evaluateOnce(view);
        if (now >= jobsCurrentAt + LIMITS.graceS) assert.equal(state, 'none');
        if (now >= Math.max(13, leaseRenewedAt + LIMITS.graceS)) assert.equal(state, 'none');
      },
    ),
    SEEDED,
  );
});

test('a single controller needs no attestation and keeps its lease', () => {
  const check = new LeaderLeaseCheck({ ...LIMITS, peerCount: 0 });
  assert.equal(check.evaluate(viewAt(500, [])), 'attested');
  assert.equal(evaluateOnce(viewAt(500, [])), 'none', 'two expected peers are missing');
});

test('the grace period leaves workers time to end tasks before the cancellation deadline', () => {
  const heartbeats = { cancelS: 40, leaseS: 15, heartbeatIntervalS: 2.5 };
  const grace = leaderGraceS(heartbeats.cancelS, heartbeats.leaseS, heartbeats.heartbeatIntervalS);
  assert.ok(
    grace > 0 && grace + heartbeats.leaseS + 2 * heartbeats.heartbeatIntervalS < heartbeats.cancelS,
  );
});

test('settings that leave a leader no time to learn of a cancellation are rejected', () => {
  const workers = { report_s: 1, lease_s: 10, gang_wait_s: 45, gang_peer_s: 8, cancel_s: 35 };
  assert.equal(checkWorkerTimes(workers), null);
  const problem = checkWorkerTimes({ ...workers, cancel_s: 13 });
  assert.equal(problem?.field, 'deployment.workers.cancel_s');
  assert.match(problem.reason, /^must be at least 14\.0[2-3]/);
  assert.equal(checkWorkerTimes({ ...workers, cancel_s: 14.03 }), null);
});

test('a leader steps down if and only if almost no worker reaches it while some reach its peers', () => {
  // Guards against the expiry of all worker leases while a leader that is partitioned from the workers keeps the
  // shard, and against stepping down because of a few lost machines or the loss of the whole fleet.
  assert.equal(isIsolatedFromWorkers(40, 0, 10), true);
  assert.equal(isIsolatedFromWorkers(40, 0, 0), false, 'no worker reaches the peers');
  assert.equal(isIsolatedFromWorkers(40, 30, 10), false, 'one zone is unreachable');
  assert.equal(isIsolatedFromWorkers(40, 4, 4), false, 'as many reach the leader as its peers');
  assert.equal(isIsolatedFromWorkers(0, 0, 0), false);
});
