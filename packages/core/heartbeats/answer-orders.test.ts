import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeFleet, makeJob, registerMachine, makeHeartbeat } from '../../testing/samples.js';

test('the starts of a gang are sent only when all its tasks are recorded', () => {
  const fleet = makeFleet();
  const job = fleet.addJob(makeJob({ kind: 'gang', tasks: 2 }), 0, 'accepted', 0);
  const [m1, m2] = [registerMachine(fleet, 'n-1'), registerMachine(fleet, 'n-2')];
  const a1 = fleet.assignments.assign(job, 0, m1, 7, 0);
  const a2 = fleet.assignments.assign(job, 1, m2, 7, 0);
  a1.recorded = true;
  const heartbeat = (sequence: number) => makeHeartbeat({ sequence });
  assert.deepEqual(fleet.heartbeats.handle(heartbeat(1), 1), { kind: 'answer', orders: [] });
  a2.recorded = true;
  assert.deepEqual(fleet.heartbeats.handle(heartbeat(2), 2), {
    kind: 'answer',
    orders: [{ op: 'start', job: job.spec.id, index: 0, attempt: 7 }],
  });
  assert.deepEqual(
    fleet.heartbeats.handle(heartbeat(2), 3),
    { kind: 'late-copy' },
    'a duplicate heartbeat is answered without orders',
  );
});
