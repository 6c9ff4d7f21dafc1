import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { aPeerStatus, SEEDED, STATED_TERM as TERM } from '#testing';
import { isIsolatedFromWorkers, LeaderLeaseCheck, LeaderLeaseView } from './leader-lease-check.js';
import type { PeerStatus } from '../peers/peer-status.js';
import { checkTimes, graceAfterLoss } from '../settings/time-bounds.js';

const LIMITS = { peerCount: 2, silenceS: 2, graceS: 12 };

/** What a leader knows that the state service has refused since second 10. */
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

test('a leader goes on through an outage for as long as all peers attest that nobody is served', () => {
  const check = new LeaderLeaseCheck(LIMITS);
  for (let now = 10; now < 200; now++) {
    const expected = now < 13 ? 'granted' : 'attested';
    assert.equal(check.evaluate(viewAt(now, [aPeerStatus(now), aPeerStatus(now)])), expected);
  }
  // Once one falls silent, the time since the last proof is bounded.
  const silent = (now: number) => viewAt(now, [aPeerStatus(now), aPeerStatus(199)]);
  assert.equal(check.evaluate(silent(205)), 'grace');
  assert.equal(check.evaluate(silent(209)), 'grace');
  assert.equal(check.evaluate(silent(211)), 'none');
});

test('what one peer does not state falls back to the bound after the loss', () => {
  const incomplete: [string, PeerStatus | null][] = [
    ['never stated anything', null],
    ['nothing read of ours', { ...aPeerStatus(20), statedAfter: -Infinity }],
    ['restarted without the records', aPeerStatus(20, { loaded: false })],
    ['may lead', aPeerStatus(20, { mayLead: true })],
    ['too many cancellations to tell', aPeerStatus(20, { cancelledSince: Infinity })],
    ['its last request was served', aPeerStatus(20, { refused: false })],
  ];
  for (const [why, peer] of incomplete) {
    assert.equal(evaluateOnce(viewAt(20, [aPeerStatus(20), peer])), 'grace', why);
    assert.equal(evaluateOnce(viewAt(22, [aPeerStatus(22), peer])), 'none', why);
  }
});

test('what a peer stated before it fell silent counts as of then, and no longer', () => {
  const silent = aPeerStatus(17);
  assert.equal(evaluateOnce(viewAt(20, [aPeerStatus(20), silent])), 'grace');
  assert.equal(evaluateOnce(viewAt(28, [aPeerStatus(28), silent])), 'grace');
  assert.equal(evaluateOnce(viewAt(29, [aPeerStatus(29), silent])), 'none');
});

test('a leader gives way at once to a peer that is served, or that knows a newer term', () => {
  const served = { ...aPeerStatus(20, { refused: false }), lastServedAt: 19 };
  assert.equal(evaluateOnce(viewAt(20, [aPeerStatus(20), served])), 'none');
  // Guards against a leader whose requests were swallowed by a cut: with every failure noticed only a
  // second later, a peer always seemed to be served after its newest failure, and it went on for good.
  assert.equal(evaluateOnce(viewAt(20, [null, { ...served, lastServedAt: 19.9 }])), 'none');
  const newer = aPeerStatus(12, { newestLeader: { term: TERM + 1, name: 'c-1' } });
  assert.equal(evaluateOnce(viewAt(20, [aPeerStatus(20), newer])), 'none');
  // Guards against a fleet that dies: two seconds of refusal alone counted for the whole outage that
  // followed, though by then nobody was served.
  const servedBefore = { ...aPeerStatus(20), lastServedAt: 12 };
  assert.equal(evaluateOnce(viewAt(20, [aPeerStatus(20), servedBefore])), 'attested');
});

test('an election lease alone is not enough once cancellations may be unknown for too long', () => {
  const over = { leaseProvenUntil: 100, leaseRenewedAt: 99 };
  assert.equal(evaluateOnce(viewAt(21, [null, null], over)), 'granted');
  assert.equal(evaluateOnce(viewAt(23, [null, null], over)), 'none');
});

test('with nobody to ask, no answer is given past the bound, whatever else is true', () => {
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

test('a single controller has nobody to ask and goes on', () => {
  const check = new LeaderLeaseCheck({ ...LIMITS, peerCount: 0 });
  assert.equal(check.evaluate(viewAt(500, [])), 'attested');
  assert.equal(evaluateOnce(viewAt(500, [])), 'none', 'peers are missing in the settings');
});

test('the grace leaves the workers time to end before a cancellation must be over', () => {
  const heartbeats = { cancelS: 40, leaseS: 15, heartbeatIntervalS: 2.5 };
  const grace = graceAfterLoss(
    heartbeats.cancelS,
    heartbeats.leaseS,
    heartbeats.heartbeatIntervalS,
  );
  assert.ok(
    grace > 0 && grace + heartbeats.leaseS + 2 * heartbeats.heartbeatIntervalS < heartbeats.cancelS,
  );
});

test('settings that leave a leader no time to learn of a cancellation are refused', () => {
  const workers = { report_s: 1, lease_s: 10, gang_wait_s: 45, gang_peer_s: 8, cancel_s: 35 };
  assert.equal(checkTimes(workers), null);
  const problem = checkTimes({ ...workers, cancel_s: 13 });
  assert.equal(problem?.field, 'deployment.workers.cancel_s');
  assert.match(problem.reason, /^must be at least 14\.0[2-3]/);
  assert.equal(checkTimes({ ...workers, cancel_s: 14.03 }), null);
});

test('a leader steps down when its workers ask its peers for it, and only then', () => {
  // Guards against a fleet whose leases all run out while their leader keeps the shard but is cut from
  // the workers, and against resigning over a few lost machines or a fleet that is gone.
  assert.equal(isIsolatedFromWorkers(40, 0, 10), true);
  assert.equal(isIsolatedFromWorkers(40, 0, 0), false, 'nobody asks');
  assert.equal(isIsolatedFromWorkers(40, 30, 10), false, 'a zone is out of reach');
  assert.equal(isIsolatedFromWorkers(40, 4, 4), false, 'as many reach us');
  assert.equal(isIsolatedFromWorkers(0, 0, 0), false);
});
