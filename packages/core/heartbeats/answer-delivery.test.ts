import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeFleet, registerMachine, makeHeartbeat } from '../../testing/samples.js';

test('a machine is cordoned if its heartbeats arrive while the answers to them are lost', () => {
  // Guards against placing tasks again and again on a machine that their start orders cannot reach.
  const fleet = makeFleet();
  const machine = registerMachine(fleet, 'n-1');
  const isCordoned = (now: number) => machine.cordonedUntil > now;
  for (const now of [1, 2, 3])
    fleet.heartbeats.handle(makeHeartbeat({ sequence: now, fencingToken: 7 }), now);
  assert.ok(!isCordoned(3));
  fleet.heartbeats.handle(makeHeartbeat({ sequence: 4, fencingToken: 7 }), 4);
  assert.ok(isCordoned(4));
  // Answers reach the machine again; then its lease expires although every heartbeat was answered.
  for (let now = 20; now < 31; now++)
    fleet.heartbeats.handle(makeHeartbeat({ sequence: now }), now);
  assert.ok(!isCordoned(30));
  fleet.heartbeats.handle(makeHeartbeat({ sequence: 40, agentEpoch: 2 }), 31);
  assert.ok(isCordoned(31));
  // Guards against cordoning a machine after a network partition, when its delayed heartbeats arrive together.
  for (const sequence of [60, 61, 62])
    fleet.heartbeats.handle(makeHeartbeat({ sequence, agentEpoch: 2 }), 60);
  fleet.heartbeats.handle(makeHeartbeat({ sequence: 70, agentEpoch: 3 }), 60.5);
  assert.ok(!isCordoned(60.5));
});
