import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeFleet, makeJob, registerMachine, makeHeartbeat } from '../../testing/samples.js';

test('inherited tasks are kept if the first heartbeat received is a delayed one of an older agent epoch', () => {
  // Guards against ending an inherited task when the agent epoch changes. A new leader may first receive a delayed
  // heartbeat of an older epoch, then one of the current epoch that was sent before the former leader's start arrived.
  const fleet = makeFleet();
  const job = fleet.addJob(makeJob({ tasks: 1 }), 0, 'accepted', 0);
  fleet.assignments.inherit(job, 0, registerMachine(fleet, 'n-1'), 1, 0);
  const heartbeat = (agentEpoch: number, sequence: number, fencingToken: number) =>
    makeHeartbeat({ agentEpoch, sequence, fencingToken });
  fleet.heartbeats.handle(heartbeat(3, 5, 90), 1);
  fleet.heartbeats.handle(heartbeat(4, 9, 90), 2);
  assert.equal(fleet.jobs.waitingCount(job), 0);
  fleet.heartbeats.handle(heartbeat(4, 10, fleet.term), 3);
  assert.equal(fleet.jobs.waitingCount(job), 1);
});

test('a heartbeat that was overtaken by the answer to a direct command still renews the lease', () => {
  // Guards against expiring a machine whose lease is still valid: the heartbeat was taken for a duplicate, but the
  // worker was waiting for the answer, which renewed the lease.
  const fleet = makeFleet();
  const machine = registerMachine(fleet, 'n-1');
  const heartbeat = (sequence: number) => makeHeartbeat({ sequence });
  fleet.heartbeats.handle(heartbeat(1), 1);
  fleet.directOrders.applyOutcome(machine, [], { kind: 'executed', heartbeat: heartbeat(3) }, 2);
  assert.deepEqual(fleet.heartbeats.handle(heartbeat(2), 9), { kind: 'answer', orders: [] });
  assert.deepEqual(fleet.heartbeats.handle(heartbeat(2), 9.5), { kind: 'late-copy' });
  assert.deepEqual(fleet.leases.expire(11.6), []);
  assert.deepEqual(fleet.leases.expire(19.6), [machine]);
});
