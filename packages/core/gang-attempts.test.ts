import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeFleet, makeJob, registerMachine, makeHeartbeat } from '../testing/samples.js';

const GANG = makeJob({ kind: 'gang', tasks: 2 });

function runningTask(index: number, attempt: number) {
  const state = 'running' as const;
  return { job: GANG.id, index, attempt, state, cause: null, checkpointed: false };
}

test("the end of a task of an old attempt does not stop the gang's current attempt", () => {
  // Guards against a zone that was partitioned off: its delayed heartbeats, delivered after the partition, ended the
  // gang that had since been placed elsewhere. A late copy of a heartbeat that a new leader reads first did the same.
  const fleet = makeFleet();
  const job = fleet.addJob(GANG, 0, 'accepted', 0);
  registerMachine(fleet, 'n-1');
  const current = ['n-2', 'n-3'].map((name, i) =>
    fleet.assignments.assign(job, i, registerMachine(fleet, name), 2, 0),
  );
  current[0].recorded = true;
  // The delayed heartbeat lists the old attempt; the heartbeat of the next agent epoch below no longer lists it.
  fleet.heartbeats.handle(makeHeartbeat({ sequence: 1, tasks: [runningTask(0, 1)] }), 1);
  assert.equal(job.assignments.get(0)?.length, 2);
  current[1].recorded = true;
  const outcome = fleet.heartbeats.handle(makeHeartbeat({ machine: 'n-2' }), 1.5);
  const start = { op: 'start', job: GANG.id, index: 0, attempt: 2 };
  assert.deepEqual(
    outcome,
    { kind: 'answer', orders: [start] },
    'the old attempt does not delay the start',
  );
  fleet.heartbeats.handle(
    makeHeartbeat({ machine: 'n-2', sequence: 2, tasks: [runningTask(0, 2)] }),
    2,
  );
  fleet.heartbeats.handle(makeHeartbeat({ sequence: 2, agentEpoch: 2 }), 3);
  assert.deepEqual([...job.assignments.values()].flat(), current);
  assert.ok(current.every(({ stop }) => stop === null));
  // The end of a task of the current attempt still ends the whole attempt.
  fleet.heartbeats.handle(makeHeartbeat({ machine: 'n-2', sequence: 3, tasks: [] }), 4);
  assert.equal(job.assignments.size, 0);
});
