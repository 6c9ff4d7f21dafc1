import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CancellationNotice } from '#peer';
import { SeededRandom } from '#testing';
import { Cancellations } from './cancellations.js';

function sortByJob(notices: CancellationNotice[]): CancellationNotice[] {
  return notices.sort((a, b) => (a.job < b.job ? -1 : 1));
}

test('a list holds all newer records and all requests that may still be recorded', () => {
  const cancellations = new Cancellations(100, 60);
  cancellations.addRecorded('j-1', 10);
  cancellations.addRecorded('j-2', 20);
  cancellations.addRequested('j-3', 5);
  cancellations.addRequested('j-2', 5);
  const requested = ['j-2', 'j-3'].map((job) => ({ job, ageMs: 1000 }));
  assert.deepEqual(cancellations.listSince(10, 6), { since: 10, cancelled: requested });
  assert.deepEqual(sortByJob(cancellations.listSince(20, 6).cancelled), requested);
  // An expired request is dropped; a record stays.
  const recorded = ['j-1', 'j-2'].map((job) => ({ job, ageMs: 0 }));
  assert.deepEqual(cancellations.listSince(0, 66), { since: 0, cancelled: recorded });
});

test('a list that is truncated, or lacks records dropped earlier, does not claim to be complete', () => {
  const cancellations = new Cancellations(10, 60);
  for (let i = 1; i <= 25; i++) cancellations.addRecorded(`j-${i}`, i);
  const { since, cancelled } = cancellations.listSince(0, 0);
  const jobs = cancelled.map((notice) => notice.job);
  assert.ok(since > 0);
  for (let i = since + 1; i <= 25; i++) assert.ok(jobs.includes(`j-${i}`));
  const manyCancellations = new Cancellations(10_000, 60);
  for (let i = 1; i <= 3000; i++) manyCancellations.addRecorded(`j-${i}`, i);
  assert.equal(manyCancellations.listSince(0, 0).since, Infinity);
  assert.equal(manyCancellations.listSince(2000, 0).since, 2000);
});

test('a request expires although controllers keep announcing it to each other', () => {
  // Guards against a request that never expires, because each status frame renews its age at the receiver.
  const KEEP_REQUESTED_S = 60;
  const STATUS_INTERVAL_S = 0.5;
  const chance = new SeededRandom(1);
  const controllers = [0, 1, 2].map(() => new Cancellations(100, KEEP_REQUESTED_S));
  const frames: { to: Cancellations; arrivesAt: number; notices: CancellationNotice[] }[] = [];
  const countAware = (now: number) => controllers.filter((c) => c.requests(now).length > 0).length;
  controllers[0].addRequested('j-1', 0);
  let lastKnownAt = 0;
  for (let now = 0; now < 10 * KEEP_REQUESTED_S; now += STATUS_INTERVAL_S / 10) {
    for (const { to, notices } of frames.filter((frame) => frame.arrivesAt <= now)) {
      for (const notice of notices) to.addFromPeer(notice, now);
    }
    frames.splice(0, frames.length, ...frames.filter((frame) => frame.arrivesAt > now));
    for (const from of controllers.filter(() => chance.withProbability(0.1))) {
      const notices = from.listSince(0, now).cancelled;
      for (const to of controllers.filter((c) => c !== from)) {
        frames.push({ to, notices, arrivesAt: now + 2 * chance.next() });
      }
    }
    if (now > 5 && now < KEEP_REQUESTED_S) assert.equal(countAware(now), 3);
    if (countAware(now) > 0) lastKnownAt = now;
  }
  assert.ok(lastKnownAt < KEEP_REQUESTED_S + 20, `known until ${lastKnownAt}`);
});
