import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aFleet, aJob, aMachine, aHeartbeat } from '../testing/samples.js';

const GANG = aJob({ kind: 'gang', tasks: 2 });

function runningTask(index: number, attempt: number) {
  const state = 'running' as const;
  return { job: GANG.id, index, attempt, state, cause: null, checkpointed: false };
}

test("the end of an old attempt's task does not stop the attempt that a gang runs now", () => {
  // Guards against a cut zone whose held heartbeats, once the cut is over, end the gang that was placed
  // elsewhere since; and against the same by a late copy that a new leader reads first.
  const fleet = aFleet();
  const job = fleet.addJob(GANG, 0, 'accepted', 0);
  aMachine(fleet, 'n-1');
  const current = ['n-2', 'n-3'].map((name, i) =>
    fleet.assignments.assign(job, i, aMachine(fleet, name), 2, 0),
  );
  current[0].recorded = true;
  // The old attempt as the held heartbeat lists it, and then the next agent epoch, which has lost it.
  fleet.heartbeats.handle(aHeartbeat({ sequence: 1, tasks: [runningTask(0, 1)] }), 1);
  assert.equal(job.assignments.get(0)?.length, 2);
  current[1].recorded = true;
  const outcome = fleet.heartbeats.handle(aHeartbeat({ machine: 'n-2' }), 1.5);
  const start = { op: 'start', job: GANG.id, index: 0, attempt: 2 };
  assert.deepEqual(outcome, { kind: 'answer', orders: [start] }, 'the old one holds nothing up');
  fleet.heartbeats.handle(
    aHeartbeat({ machine: 'n-2', sequence: 2, tasks: [runningTask(0, 2)] }),
    2,
  );
  fleet.heartbeats.handle(aHeartbeat({ sequence: 2, agentEpoch: 2 }), 3);
  assert.deepEqual([...job.assignments.values()].flat(), current);
  assert.ok(current.every(({ stop }) => stop === null));
  // An end of the attempt's own task still ends all of it.
  fleet.heartbeats.handle(aHeartbeat({ machine: 'n-2', sequence: 3, tasks: [] }), 4);
  assert.equal(job.assignments.size, 0);
});
