import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeFleet, makeJob, registerMachine, makeHeartbeat } from '../../testing/samples.js';

test('an answer to a direct command restores no assignment if the machine was released or its lease expired', () => {
  // Guards against an assignment that exists, and counts against the team's limit, for the rest of the term although
  // its machine is gone.
  for (const lost of ['released', 'silent'] as const) {
    const fleet = makeFleet();
    const job = fleet.addJob(makeJob(), 0, 'accepted', 0);
    const machine = registerMachine(fleet, 'n-1');
    fleet.heartbeats.handle(makeHeartbeat(), 1);
    fleet.assignments.assign(job, 0, machine, 1, 1).recorded = true;
    const orders = fleet.directOrders.nextOrders(machine, 1.5);
    if (lost === 'released') fleet.removeMachine('n-1', 2);
    else assert.deepEqual(fleet.leases.expire(20), [machine]);
    const task = { job: job.spec.id, index: 0, attempt: 1, cause: null, checkpointed: false };
    const heartbeat = makeHeartbeat({ sequence: 2, tasks: [{ ...task, state: 'fetching' }] });
    fleet.directOrders.applyOutcome(machine, orders, { kind: 'executed', heartbeat }, 21);
    assert.equal(job.assignments.size, 0, lost);
    assert.equal(fleet.usage.amountsOfTeam('red').gpus, 0, lost);
  }
});

test('an unanswered start is fenced off at once when its job is cancelled', () => {
  // Guards against a delayed start that is executed seconds after the user was told that the job is cancelled.
  const fleet = makeFleet();
  const job = fleet.addJob(makeJob(), 0, 'accepted', 0);
  const machine = registerMachine(fleet, 'n-1');
  fleet.heartbeats.handle(makeHeartbeat(), 1);
  fleet.assignments.assign(job, 0, machine, 1, 1).recorded = true;
  assert.equal(fleet.directOrders.nextOrders(machine, 1.5).length, 1);
  fleet.unrecordedChanges.machines.clear();
  fleet.closeJob(job, 'cancelled', 1.6);
  assert.deepEqual([...fleet.unrecordedChanges.machines], ['n-1']);
  fleet.fencing.revisionWritten(150);
  fleet.fencing.fenceRecorded(machine);
  fleet.heartbeats.handle(makeHeartbeat({ sequence: 2 }), 2);
  assert.equal(machine.fencingToken, 150, 'the answer carries the new fencing token');
  assert.equal(job.assignments.size, 1);
  fleet.heartbeats.handle(makeHeartbeat({ sequence: 3, fencingToken: 150 }), 3);
  assert.equal(job.assignments.size, 0);
});
