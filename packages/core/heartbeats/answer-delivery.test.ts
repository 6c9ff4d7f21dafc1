import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aFleet, aMachine, aReport } from '../../testing/samples.js';

test('nothing is placed on a machine whose reports come while our answers do not reach it', () => {
  // Guards against tasks that wait again and again on a machine that can't hear of them.
  const fleet = aFleet();
  const machine = aMachine(fleet, 'n-1');
  const avoided = (now: number) => machine.cordonedUntil > now;
  for (const now of [1, 2, 3])
    fleet.heartbeats.handle(aReport({ sequence: now, fencingToken: 7 }), now);
  assert.ok(!avoided(3));
  fleet.heartbeats.handle(aReport({ sequence: 4, fencingToken: 7 }), 4);
  assert.ok(avoided(4));
  // It hears us again, then its lease runs out though we answered all the time.
  for (let now = 20; now < 31; now++) fleet.heartbeats.handle(aReport({ sequence: now }), now);
  assert.ok(!avoided(30));
  fleet.heartbeats.handle(aReport({ sequence: 40, agentEpoch: 2 }), 31);
  assert.ok(avoided(31));
  // Guards against the same being said of a zone whose cut is over: what was held back comes at once.
  for (const seq of [60, 61, 62])
    fleet.heartbeats.handle(aReport({ sequence: seq, agentEpoch: 2 }), 60);
  fleet.heartbeats.handle(aReport({ sequence: 70, agentEpoch: 3 }), 60.5);
  assert.ok(!avoided(60.5));
});
