import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_LISTENER } from '../model/listener.js';
import type { TaskRef, TaskStatus } from '#wire';
import { makeFleet, makeJob, registerMachine, makeHeartbeat } from '../../testing/samples.js';

const JOB = makeJob();

/** The status of an attempt of the job's only task that is running. */
function running(attempt: number): TaskStatus {
  const task = { job: JOB.id, index: 0, attempt };
  return { ...task, state: 'running', cause: null, checkpointed: false };
}

test('an attempt that shows up again is stopped at once, also if its task has another place, and is reported once', () => {
  // Guards against an attempt that runs for seconds beside its successor on another or on the same machine.
  for (const place of ['n-1', 'n-2'] as const) {
    const found: TaskRef[] = [];
    const listener = {
      ...NO_LISTENER,
      attemptUnexpected: (_machine: unknown, attempt: TaskRef) => void found.push(attempt),
    };
    const fleet = makeFleet({ listener });
    const job = fleet.addJob(JOB, 0, 'accepted', 0);
    const machine = registerMachine(fleet, 'n-1');
    const machineOfTask = place === 'n-1' ? machine : registerMachine(fleet, place);
    fleet.heartbeats.handle(makeHeartbeat(), 0);
    const assignment = fleet.assignments.assign(job, 0, machineOfTask, 2, 0);
    assignment.startSent = assignment.recorded = true;
    assignment.startAnswerSequence = 1;
    const kill = { op: 'stop', graceS: 0, job: JOB.id, index: 0, attempt: 1 };
    const listed = place === 'n-1' ? [running(2), running(1)] : [running(1)];
    const outcome = fleet.heartbeats.handle(makeHeartbeat({ sequence: 2, tasks: listed }), 1);
    assert.deepEqual(outcome, { kind: 'answer', orders: [kill] });
    assert.ok(fleet.unexpectedAttempts.takeNew(), 'a direct command is due now');
    assert.deepEqual(fleet.directOrders.nextOrders(machine, 1), [kill]);
    fleet.directOrders.applyOutcome(machine, [], { kind: 'refused' }, 1);
    assert.equal(assignment.stop, null, 'the place of the task stays as it is');
    fleet.heartbeats.handle(makeHeartbeat({ sequence: 3, tasks: listed }), 2);
    assert.equal(fleet.unexpectedAttempts.takeNew(), false);
    assert.equal(found.length, 1);
    assert.equal(fleet.unexpectedAttempts.total, 1);
    fleet.heartbeats.handle(makeHeartbeat({ sequence: 4, tasks: listed.slice(0, -1) }), 3);
    assert.equal(machine.unexpectedAttempts.size, 0);
    assert.deepEqual(
      [...(job.assignments.get(0) ?? [])].map(({ attempt }) => attempt),
      [2],
    );
  }
});

test('an attempt in the first heartbeat to a new leader is reported only if a heartbeat of this term confirms it', () => {
  // Guards against reports of attempts that only a late copy of a heartbeat lists.
  for (const isLive of [true, false]) {
    const found: TaskRef[] = [];
    const listener = {
      ...NO_LISTENER,
      attemptUnexpected: (_machine: unknown, attempt: TaskRef) => void found.push(attempt),
    };
    const fleet = makeFleet({ listener });
    fleet.addJob(JOB, 0, 'accepted', 0);
    registerMachine(fleet, 'n-1');
    const first = makeHeartbeat({ fencingToken: 60, tasks: [running(1)] });
    const outcome = fleet.heartbeats.handle(first, 1);
    assert.equal(outcome.kind === 'answer' && outcome.orders[0]?.op, 'stop');
    assert.equal(found.length, 0);
    const cause = isLive ? 'stopped' : 'done';
    const tasks: TaskStatus[] = [{ ...running(1), state: 'exited', cause }];
    fleet.heartbeats.handle(makeHeartbeat({ sequence: 2, tasks }), 2);
    assert.equal(found.length, isLive ? 1 : 0);
  }
});

test('an attempt in a delayed heartbeat of an expired lease is stopped and not reported', () => {
  // Guards against reports after a network partition, whose heartbeats arrive together at its end.
  const fleet = makeFleet();
  const job = fleet.addJob(JOB, 0, 'accepted', 0);
  const machine = registerMachine(fleet, 'n-1');
  fleet.assignments.assign(job, 0, machine, 1, 0).startSent = true;
  fleet.heartbeats.handle(makeHeartbeat({ tasks: [running(1)] }), 1);
  assert.deepEqual(fleet.leases.expire(30), [machine]);
  fleet.assignments.assign(job, 0, registerMachine(fleet, 'n-2'), 2, 30);
  const delayed = makeHeartbeat({ sequence: 2, tasks: [running(1)] });
  const outcome = fleet.heartbeats.handle(delayed, 31);
  assert.equal(outcome.kind === 'answer' && outcome.orders[0]?.op, 'stop');
  assert.equal(fleet.unexpectedAttempts.total, 0);
});

test('an attempt of a job that ended long ago is stopped by a direct command and reported', () => {
  // Guards against a cancelled task that begins again after its job was dropped from the fleet state.
  const fleet = makeFleet();
  const machine = registerMachine(fleet, 'n-1');
  fleet.heartbeats.handle(makeHeartbeat(), 0);
  const kill = { op: 'stop', graceS: 0, job: JOB.id, index: 0, attempt: 1 };
  const heartbeat = makeHeartbeat({ sequence: 2, tasks: [running(1)] });
  assert.deepEqual(fleet.heartbeats.handle(heartbeat, 1), { kind: 'answer', orders: [kill] });
  assert.deepEqual(fleet.directOrders.nextOrders(machine, 1), [kill]);
  assert.equal(fleet.unexpectedAttempts.total, 1);
});
