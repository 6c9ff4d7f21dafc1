import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ExitCause, Heartbeat, Job, TaskStatus } from '#wire';
import { makeFleet, makeJob, registerMachine, makeHeartbeat } from '../../testing/samples.js';
import { WorkerModel } from '../../testing/models/leader-with-workers/worker.js';

/** A machine whose messages a test sends by hand; each has the next sequence number and comes 0.25 s later. */
class MachineScript {
  readonly fleet = makeFleet();
  readonly machine = registerMachine(this.fleet, 'n-1');
  /** The fencing token that the worker shows. */
  fencingToken = 100;
  agentEpoch = 1;
  now = 0;
  private sequence = 0;

  constructor() {
    this.heartbeat();
  }

  addJob(overrides: Partial<Job> = {}) {
    return this.fleet.addJob(makeJob(overrides), 0, 'accepted', 0);
  }

  /** Assigns a task of the job, sends its direct start, and lets the worker answer with the task in the state. */
  startDirectly(job: ReturnType<MachineScript['addJob']>, index: number, attempt: number): void {
    const { fleet, machine } = this;
    fleet.assignments.assign(job, index, machine, attempt, this.now).recorded = true;
    fleet.unrecordedChanges.machineCollected(machine.name);
    const orders = fleet.directOrders.nextOrders(machine, this.now);
    assert.deepEqual(
      orders.map(({ op }) => op),
      ['start'],
    );
    this.fencingToken = machine.fencingToken;
    const tasks = [status(job.spec.id, index, attempt, null)];
    const outcome = { kind: 'executed', heartbeat: this.message(tasks) } as const;
    fleet.directOrders.applyOutcome(machine, orders, outcome, this.now);
  }

  /** Sends a heartbeat and returns the orders in its answer, which the worker obeys if `obeys` is true. */
  heartbeat(tasks: TaskStatus[] = [], obeys = true): string[] {
    const outcome = this.fleet.heartbeats.handle(this.message(tasks), this.now);
    assert.equal(outcome.kind, 'answer');
    if (obeys) this.fencingToken = this.machine.fencingToken;
    return outcome.kind === 'answer' ? outcome.orders.map(({ op }) => op) : [];
  }

  private message(tasks: TaskStatus[]): Heartbeat {
    const { agentEpoch, fencingToken } = this;
    this.now += 0.25;
    return makeHeartbeat({ sequence: ++this.sequence, agentEpoch, fencingToken, tasks });
  }
}

function status(job: string, index: number, attempt: number, cause: ExitCause | null): TaskStatus {
  const state = cause === null ? 'running' : 'exited';
  return { job, index, attempt, state, cause, checkpointed: false };
}

const CAUSES: ExitCause[] = ['done', 'error', 'stopped', 'busy', 'no_room', 'peers', 'alone'];
for (const cause of CAUSES) {
  test(`an attempt that ended with ${cause} is not forgotten while a copy of its answered start may be admitted`, () => {
    const script = new MachineScript();
    const { fleet } = script;
    const job = script.addJob({ tasks: 2 });
    script.startDirectly(job, 0, 1);
    const exited = status(job.spec.id, 0, 1, cause);
    assert.deepEqual(script.heartbeat([exited]), []);
    fleet.unrecordedChanges.tasksRecorded(job.spec.id, [0]);
    fleet.fencing.revisionWritten(150);
    for (let i = 0; i < 8; i++) assert.deepEqual(script.heartbeat([exited], false), []);
    assert.equal(script.machine.fencingToken, 150, 'the answer raises the fencing token');
    script.heartbeat([exited]);
    assert.deepEqual(script.heartbeat([exited]), ['forget']);
  });
}

test('an attempt is not forgotten after its task moved or its job was cancelled while a copy of its start may be admitted', () => {
  for (const isCancelled of [false, true]) {
    const script = new MachineScript();
    const { fleet } = script;
    const job = script.addJob();
    script.startDirectly(job, 0, 1);
    const exited = status(job.spec.id, 0, 1, 'error');
    script.heartbeat([exited]);
    if (isCancelled) fleet.closeJob(job, 'cancelled', script.now);
    else fleet.assignments.assign(job, 0, registerMachine(fleet, 'n-2'), 2, script.now);
    assert.deepEqual(script.heartbeat([exited]), []);
    assert.equal(
      fleet.unrecordedChanges.urgentMachines.has('n-1'),
      false,
      'no record for it alone',
    );
  }
});

test('the next direct start shows the worker a higher fencing token, and earlier attempts are forgotten', () => {
  const script = new MachineScript();
  const job = script.addJob({ tasks: 2 });
  script.startDirectly(job, 0, 1);
  const exited = status(job.spec.id, 0, 1, 'error');
  script.heartbeat([exited]);
  script.fleet.fencing.revisionWritten(150);
  script.startDirectly(job, 1, 2);
  assert.equal(script.fencingToken, 150);
  assert.deepEqual(script.heartbeat([exited, status(job.spec.id, 1, 2, null)]), ['forget']);
});

test('an attempt is forgotten in a new agent epoch, which admits no command of the old one', () => {
  const script = new MachineScript();
  const job = script.addJob();
  script.startDirectly(job, 0, 1);
  const exited = status(job.spec.id, 0, 1, 'error');
  assert.deepEqual(script.heartbeat([exited]), []);
  script.agentEpoch++;
  assert.deepEqual(script.heartbeat([exited]), ['forget']);
});

test('an attempt of an earlier term is not forgotten before the worker has shown the fencing token of this term', () => {
  const script = new MachineScript();
  script.machine.termConfirmed = false;
  script.fencingToken = 60;
  const exited = status('j-000009', 0, 7, 'error');
  assert.deepEqual(script.heartbeat([exited], false), []);
  script.heartbeat([exited]);
  assert.deepEqual(script.heartbeat([exited]), ['forget']);
});

test('a machine whose record is not written is fenced off by the next transaction, whatever it writes', () => {
  // Guards against a machine that gets no direct command any more, since its record exceeds its limit.
  const script = new MachineScript();
  const job = script.addJob();
  const { fleet, machine } = script;
  fleet.assignments.assign(job, 0, machine, 1, script.now).recorded = true;
  assert.equal(fleet.directOrders.nextOrders(machine, script.now).length, 1);
  fleet.closeJob(job, 'cancelled', script.now);
  assert.equal(machine.fence, 'requested');
  fleet.fencing.revisionWritten(150);
  script.heartbeat();
  assert.deepEqual([machine.fence, machine.fencingToken], ['raised', 150]);
  script.heartbeat();
  assert.equal(machine.fence, 'none');
  assert.equal(job.assignments.size, 0);
});

/** Runs one-task jobs that end at once, `perSecond` of them, for a minute on one worker; returns what it cost. */
function runShortJobs(perSecond: number, writesRevisions: boolean) {
  const fleet = makeFleet();
  const machine = registerMachine(fleet, 'n-1');
  const worker = new WorkerModel({
    name: 'n-1',
    zone: 'a',
    spot: false,
    leaseS: 10,
    taskDurationS: () => 0,
    onStart: () => {},
  });
  let revision = 100;
  let fences = 0;
  let mostListed = 0;
  const record = () => {
    if (machine.fence === 'requested') {
      fences++;
      fleet.fencing.revisionWritten(++revision);
    }
    fleet.fencing.fenceRecorded(machine);
  };
  for (let second = 0; second < 60; second++) {
    for (let number = 0; number < perSecond; number++) {
      const now = second + number / perSecond;
      const job = fleet.addJob(makeJob({ id: `j-${second}${number}` }), 0, 'accepted', now);
      fleet.assignments.assign(job, 0, machine, revision * 1000 + number, now).recorded = true;
      if (writesRevisions) fleet.fencing.revisionWritten(++revision);
      const orders = fleet.directOrders.nextOrders(machine, now);
      const { fencingToken, agentEpoch } = machine;
      const answer = worker.handleCommand(fencingToken, agentEpoch || 1, orders, now);
      const outcome = answer && ({ kind: 'executed', heartbeat: answer } as const);
      if (orders.length > 0)
        fleet.directOrders.applyOutcome(machine, orders, outcome ?? { kind: 'refused' }, now);
      worker.advance(now);
      worker.advance(now);
    }
    const heartbeat = worker.heartbeat();
    mostListed = Math.max(mostListed, heartbeat.tasks.length);
    const result = fleet.heartbeats.handle(heartbeat, second + 1);
    const orders = result.kind === 'answer' ? result.orders : [];
    const sent = { agentEpoch: heartbeat.agentEpoch, sentAt: second + 1 };
    worker.handleAnswer(sent, machine.fencingToken, orders, second + 1);
    for (const job of fleet.jobs.values()) fleet.closeJob(job, 'done', second + 1);
    record();
  }
  return { fences, mostListed, bound: fleet.fencing.maxRetainedAttempts };
}

test('retained attempts stay few while jobs of one task that end at once come four a second, and need no record of their own', () => {
  const { fences, mostListed, bound } = runShortJobs(4, true);
  assert.equal(fences, 0);
  assert.ok(mostListed <= bound + 4, `${mostListed} listed, ${bound} retained at most`);
});

test('retained attempts stay few if no revision is written, at the price of one record for all that a machine retains', () => {
  const { fences, mostListed, bound } = runShortJobs(4, false);
  assert.ok(mostListed <= bound + 2 * 4, `${mostListed} listed, ${bound} retained at most`);
  assert.ok(fences >= 1 && fences <= Math.ceil((60 * 4) / bound), `${fences} records`);
});
