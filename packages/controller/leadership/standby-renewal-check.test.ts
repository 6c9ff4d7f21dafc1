import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aPeerStatus, STATED_TERM as TERM } from '#testing';
import type { PeerStatus } from '../peers/peer-status.js';
import { StandbyRenewalCheck, StandbyView } from './standby-renewal-check.js';

const LIMITS = { peerCount: 2, silenceS: 2, graceS: 12 };
const OWNER_LIFE = 5;

const leading = (at: number) =>
  aPeerStatus(at, { incarnation: OWNER_LIFE, leading: true, mayLead: true });
/** The owner's next life, which could not read the records. */
const restarted = (at: number) => aPeerStatus(at, { incarnation: OWNER_LIFE + 1, loaded: false });

function viewAt(now: number, leader: PeerStatus | null, over: Partial<StandbyView> = {}) {
  return {
    now,
    term: TERM,
    mayLead: false,
    jobsCurrentAt: 10,
    jobsRevision: 100,
    failingSince: 10,
    peers: [leader, aPeerStatus(now, {})],
    ...over,
  };
}

/** What a controller may do at second 20, which has heard the owner until 18 and these words at 20. */
function renewsAt20(leader: PeerStatus | null, over: Partial<StandbyView> = {}): boolean {
  const judge = new StandbyRenewalCheck(LIMITS);
  for (let now = 10; now <= 18; now++) judge.record(viewAt(now, leading(now)), leading(now));
  const view = viewAt(20, leader, over);
  judge.record(view, leader);
  return judge.mayRenew(view, leader);
}

test('leases are renewed for an owner whose process has a new life, or that has resigned', () => {
  assert.ok(renewsAt20(restarted(20)));
  assert.ok(renewsAt20(aPeerStatus(20, { incarnation: OWNER_LIFE })));
});

test('leases are not renewed for an owner that may live', () => {
  assert.ok(!renewsAt20(leading(20)));
  assert.ok(!renewsAt20(null));
  // Whether this life is a new one can't be told if the owning life was never heard.
  const judge = new StandbyRenewalCheck(LIMITS);
  const view = viewAt(20, restarted(20));
  judge.record(view, restarted(20));
  assert.ok(!judge.mayRenew(view, restarted(20)));
});

test('leases are not renewed where somebody else may own', () => {
  const served = { ...aPeerStatus(20, { refused: false }), servedAt: 19 };
  assert.ok(!renewsAt20(restarted(20), { peers: [restarted(20), served] }));
  const newer = aPeerStatus(20, { newestLeader: { term: TERM + 1, name: 'c-2' } });
  assert.ok(!renewsAt20(restarted(20), { peers: [restarted(20), newer] }));
  assert.ok(!renewsAt20(restarted(20), { peers: [restarted(20), null] }));
  assert.ok(!renewsAt20(restarted(20), { mayLead: true }));
});

test('renewing ends in time for cancellations that the ended owner may have confirmed at last', () => {
  const judge = new StandbyRenewalCheck(LIMITS);
  for (let now = 10; now <= 18; now++) judge.record(viewAt(now, leading(now)), leading(now));
  const renews = (now: number) => {
    const view = viewAt(now, restarted(now));
    judge.record(view, restarted(now));
    return judge.mayRenew(view, restarted(now));
  };
  // The owner's last complete statement counts as of second 17.5.
  assert.ok(renews(29));
  assert.ok(!renews(30));
});
