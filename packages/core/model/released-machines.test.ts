import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeFleet, registerMachine, makeHeartbeat } from '../../testing/samples.js';
import { ReleasedMachines } from './released-machines.js';

test('a delayed heartbeat of a released machine neither registers it again nor indicates a newer leader', () => {
  // Guards against placing work on a machine that is gone, and against a leader that steps down because of a fencing
  // token that it issued itself.
  const fleet = makeFleet();
  const machine = registerMachine(fleet, 'n-1');
  machine.fence = 'requested';
  fleet.fencing.revisionWritten(150);
  fleet.fencing.fenceRecorded(machine);
  const heartbeat = makeHeartbeat({ sequence: 3, fencingToken: 150 });
  assert.equal(fleet.heartbeats.handle(heartbeat, 1).kind, 'answer');
  fleet.removeMachine('n-1', 2);
  assert.deepEqual(fleet.heartbeats.handle(heartbeat, 30), { kind: 'late-copy' });
  assert.equal(fleet.machines.size, 0);
  assert.ok(heartbeat.fencingToken <= fleet.fencing.newestFencingToken);
});

test('released machines are forgotten after 60 lease times', () => {
  const released = new ReleasedMachines(10);
  released.add('n-1', 0);
  released.add('n-2', 500);
  assert.ok(released.has('n-1'));
  released.add('n-3', 700);
  assert.deepEqual(
    ['n-1', 'n-2', 'n-3'].map((name) => released.has(name)),
    [false, true, true],
  );
});
