import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aFleet, aMachine, aHeartbeat } from '../../testing/samples.js';

test('nothing is placed on a machine whose heartbeats come while our answers do not reach it', () => {
  // Guards against tasks that wait again and again on a machine that their starts cannot reach.
  const fleet = aFleet();
  const machine = aMachine(fleet, 'n-1');
  const isCordoned = (now: number) => machine.cordonedUntil > now;
  for (const now of [1, 2, 3])
    fleet.heartbeats.handle(aHeartbeat({ sequence: now, fencingToken: 7 }), now);
  assert.ok(!isCordoned(3));
  fleet.heartbeats.handle(aHeartbeat({ sequence: 4, fencingToken: 7 }), 4);
  assert.ok(isCordoned(4));
  // Our answers reach it again, then its lease expires though we answered all the time.
  for (let now = 20; now < 31; now++) fleet.heartbeats.handle(aHeartbeat({ sequence: now }), now);
  assert.ok(!isCordoned(30));
  fleet.heartbeats.handle(aHeartbeat({ sequence: 40, agentEpoch: 2 }), 31);
  assert.ok(isCordoned(31));
  // Guards against the same being said of a zone whose cut is over: what was held back comes at once.
  for (const sequence of [60, 61, 62])
    fleet.heartbeats.handle(aHeartbeat({ sequence, agentEpoch: 2 }), 60);
  fleet.heartbeats.handle(aHeartbeat({ sequence: 70, agentEpoch: 3 }), 60.5);
  assert.ok(!isCordoned(60.5));
});
