import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskStatus } from '#wire';
import { aFleet, aJob, aMachine, aHeartbeat } from '../../testing/samples.js';

const JOB = aJob();
const TASK = { job: JOB.id, index: 0 };
const RUNNING: TaskStatus = {
  ...TASK,
  attempt: 1,
  state: 'running',
  cause: null,
  checkpointed: false,
};
const STOPPED: TaskStatus = { ...RUNNING, state: 'exited', cause: 'stopped' };

/** Creates a machine and a job, and functions that assign an attempt and that list the orders in a heartbeat's answer. */
function createMachineWithAttempts() {
  const fleet = aFleet();
  const job = fleet.addJob(JOB, 0, 'accepted', 0);
  const machine = aMachine(fleet, 'n-1');
  const heartbeat = (sequence: number, ...tasks: TaskStatus[]) => {
    const outcome = fleet.heartbeats.handle(aHeartbeat({ sequence, tasks }), sequence / 4);
    return outcome.kind === 'answer' ? outcome.orders.map(({ op }) => op) : null;
  };
  const assign = (attempt: number) => {
    const assignment = fleet.assignments.assign(job, 0, machine, attempt, 0);
    assignment.recorded = true;
    return assignment;
  };
  heartbeat(1);
  return { fleet, job, machine, heartbeat, assign };
}

test('an exited attempt is not forgotten while its start may still arrive, even if a newer attempt exists', () => {
  // Guards against a delayed start that runs the old attempt again while the new one runs elsewhere.
  const { fleet, machine, heartbeat, assign } = createMachineWithAttempts();
  const first = assign(1);
  const orders = fleet.directOrders.nextOrders(machine, 0.3);
  assert.equal(orders.length, 1);
  heartbeat(2, RUNNING);
  fleet.assignments.stop(first, 0, 0.6);
  assert.deepEqual(heartbeat(3, STOPPED), []);
  assign(2);
  assert.deepEqual(heartbeat(4, STOPPED), ['start']);
  fleet.directOrders.applyOutcome(machine, orders, { kind: 'refused' }, 1.1);
  assert.deepEqual(heartbeat(5, STOPPED), ['forget', 'start']);
});

test('a task is done once an older attempt completes, and the newer attempt is stopped', () => {
  const { job, heartbeat, assign } = createMachineWithAttempts();
  assign(2);
  const done: TaskStatus = { ...STOPPED, cause: 'done' };
  assert.deepEqual(heartbeat(2, done), [], 'not forgotten until the end is durable');
  assert.ok(job.done.has(0));
  assert.equal(job.assignments.size, 0);
});

test('a task stays assigned while an older attempt is live, even if the newer attempt was refused or not sent', () => {
  // Guards against placing a task elsewhere while its old attempt runs, because its new start was refused or not sent.
  for (const [newer, isSent] of [
    ['refused', true],
    ['unsent', false],
  ] as const) {
    const { fleet, job, heartbeat, assign } = createMachineWithAttempts();
    const second = assign(2);
    if (isSent) heartbeat(2);
    const refused: TaskStatus = { ...STOPPED, attempt: 2, cause: 'busy' };
    const listed = isSent ? [RUNNING, refused] : [RUNNING];
    assert.deepEqual(heartbeat(3, ...listed), isSent ? ['forget', 'stop'] : ['stop'], newer);
    if (!isSent) fleet.assignments.stop(second, 0, 1);
    assert.equal(fleet.jobs.waitingCount(job), 0, newer);
    assert.equal(job.assignments.get(0)?.[0].attempt, 1, newer);
    heartbeat(4);
    assert.equal(fleet.jobs.waitingCount(job), 1, newer);
  }
});

test('a worker forgets a done task once its completion is recorded, even if that of other tasks is not', () => {
  const { fleet, machine, heartbeat } = createMachineWithAttempts();
  const job = fleet.addJob(aJob({ id: 'j-000002', tasks: 3 }), 0, 'accepted', 0);
  const done = (index: number): TaskStatus => {
    return { ...RUNNING, job: 'j-000002', index, state: 'exited', cause: 'done' };
  };
  for (const index of [0, 1]) {
    fleet.assignments.assign(job, index, machine, 1, 0).recorded = true;
  }
  assert.ok(!heartbeat(2, done(0), done(1))?.includes('forget'));
  fleet.unrecordedChanges.tasksRecorded(job.spec.id, [0]);
  assert.deepEqual(
    heartbeat(3, done(0), done(1))?.filter((op) => op === 'forget'),
    ['forget'],
  );
  // The end of the whole job is recorded separately from the completion of single tasks.
  fleet.assignments.assign(job, 2, machine, 1, 0).recorded = true;
  fleet.unrecordedChanges.tasksRecorded(job.spec.id, [1]);
  assert.ok(!heartbeat(4, done(2))?.includes('forget'));
  fleet.closeJob(job, 'done', 2);
  assert.deepEqual(heartbeat(5, done(2)), ['forget']);
});
