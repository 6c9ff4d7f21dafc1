import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aFleet, aJob, aMachine, aHeartbeat } from '../../testing/samples.js';

test('a late copy of an older agent epoch does not make inherited tasks look gone', () => {
  // Guards against: a new leader first sees an old copy, then a heartbeat of the current epoch from
  // before the start that the former leader sent; the change of epoch proved nothing.
  const fleet = aFleet();
  const job = fleet.addJob(aJob({ tasks: 1 }), 0, 'accepted', 0);
  fleet.assignments.inherit(job, 0, aMachine(fleet, 'n-1'), 1, 0);
  const heartbeat = (agentEpoch: number, sequence: number, fencingToken: number) =>
    aHeartbeat({ agentEpoch, sequence, fencingToken });
  fleet.heartbeats.handle(heartbeat(3, 5, 90), 1);
  fleet.heartbeats.handle(heartbeat(4, 9, 90), 2);
  assert.equal(fleet.jobs.waitingCount(job), 0);
  fleet.heartbeats.handle(heartbeat(4, 10, fleet.term), 3);
  assert.equal(fleet.jobs.waitingCount(job), 1);
});

test('a heartbeat overtaken by a direct answer still counts as answered', () => {
  // Guards against a machine being given up while its lease runs: the heartbeat was taken for a late
  // copy, but its worker waited for the answer and was renewed by it.
  const fleet = aFleet();
  const machine = aMachine(fleet, 'n-1');
  const heartbeat = (sequence: number) => aHeartbeat({ sequence });
  fleet.heartbeats.handle(heartbeat(1), 1);
  fleet.directOrders.applyOutcome(machine, [], { kind: 'executed', heartbeat: heartbeat(3) }, 2);
  assert.deepEqual(fleet.heartbeats.handle(heartbeat(2), 9), { kind: 'answer', orders: [] });
  assert.deepEqual(fleet.heartbeats.handle(heartbeat(2), 9.5), { kind: 'late-copy' });
  assert.deepEqual(fleet.leases.expire(11.6), []);
  assert.deepEqual(fleet.leases.expire(19.6), [machine]);
});
