import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MACHINES_PREFIX } from '#store';
import { makeJob, registerMachine, startRecorder } from '#testing';
import { TermLostError, type TermLossReason } from './term-lost-error.js';

test('a task is not recorded, and so never starts, after its job was cancelled', async () => {
  // Guards against starts after a confirmed cancellation that the watch has not delivered to the leader yet.
  const { fleet, record, sync, flush, tasksOn } = await startRecorder();
  const [kept, cancelled] = ['j-1', 'j-2'].map((id) => makeJob({ id }));
  for (const job of [kept, cancelled]) record(job, 'accepted');
  await sync();
  const [firstMachine, secondMachine] = ['n-1', 'n-2'].map((name) => registerMachine(fleet, name));
  fleet.assignments.assign(fleet.jobs.get('j-1')!, 0, firstMachine, 1, 0);
  fleet.assignments.assign(fleet.jobs.get('j-2')!, 0, secondMachine, 2, 0);
  record(cancelled, 'cancelled');
  await flush();
  assert.deepEqual(tasksOn('n-1'), ['j-1']);
  assert.equal(tasksOn('n-2'), undefined);
  assert.equal(fleet.jobs.get('j-2')!.phase, 'cancelled');
  assert.equal(secondMachine.tasks.size, 0);
});

test('a cancellation between a transaction whose answer is lost and its retry prevents the start', async () => {
  const { state, fleet, record, sync, flush, tasksOn } = await startRecorder();
  const job = makeJob({ id: 'j-1' });
  record(job, 'accepted');
  await sync();
  const machine = registerMachine(fleet, 'n-1');
  const assignment = fleet.assignments.assign(fleet.jobs.get('j-1')!, 0, machine, 1, 0);
  state.service.beginLostReplies(1);
  const flushed = flush();
  await state.run(0.2);
  state.service.endReplyLoss();
  assert.deepEqual(tasksOn('n-1'), ['j-1']);
  assert.ok(!assignment.recorded);
  record(job, 'cancelled');
  await flushed;
  // The worker was never told of the task, so its place on the machine is free at once.
  assert.equal(machine.tasks.size, 0);
  assert.deepEqual(tasksOn('n-1'), []);
});

test('a machine with more new jobs than a transaction may have conditions is recorded in several transactions', async () => {
  const { fleet, record, sync, flush, tasksOn } = await startRecorder({ txnOps: 2 });
  const ids = Array.from({ length: 9 }, (_, i) => `j-${i + 1}`);
  for (const id of ids) record(makeJob({ id, cpus: 1 }), 'accepted');
  await sync();
  const machine = registerMachine(fleet, 'n-1');
  for (const id of ids) fleet.assignments.assign(fleet.jobs.get(id)!, 0, machine, 1, 0);
  await flush();
  assert.deepEqual(tasksOn('n-1'), ids);
  assert.ok([...machine.tasks.values()].every((assignment) => assignment.recorded));
});

test('a transaction that was applied without an answer is recognised by a record that it wrote', async () => {
  // Guards against taking version 0 of a deleted record for the revision of the whole transaction: the fencing token
  // of a machine became 0, and the next change of its record ended the term.
  const { state, fleet, record, sync, flush, tasksOn, term } = await startRecorder();
  record(makeJob({ id: 'j-1', tasks: 3 }), 'accepted');
  await sync();
  const job = fleet.jobs.get('j-1')!;
  const [released, fenced] = ['n-1', 'n-2'].map((name) => registerMachine(fleet, name));
  fleet.assignments.assign(job, 0, released, 1, 0);
  fleet.assignments.assign(job, 1, fenced, 2, 0);
  await flush();
  fleet.removeMachine('n-1', 0);
  fenced.fence = 'requested';
  fleet.assignments.assign(job, 2, fenced, 3, 0);
  state.service.beginLostReplies(1);
  const flushed = flush();
  await state.run(0.2);
  state.service.endReplyLoss();
  // The second attempt tells the outcome; it is sent before the first attempt times out.
  await state.run(0.2);
  assert.equal(fenced.fence, 'raised');
  await flushed;
  assert.equal(tasksOn('n-1'), undefined);
  assert.equal(fenced.fencingToken, state.service.store.get(`${MACHINES_PREFIX}n-2`)?.version);
  assert.ok(fenced.fencingToken > term);
  fleet.assignments.stop(job.assignments.get(2)![0], 0, 0);
  await flush();
  assert.deepEqual(tasksOn('n-2'), ['j-1']);
  // A transaction of deletions only is recognised, too: deletions need no revision.
  fleet.removeMachine('n-2', 0);
  state.service.beginLostReplies(1);
  const deleted = flush();
  await state.run(0.2);
  state.service.endReplyLoss();
  await deleted;
  assert.equal(tasksOn('n-2'), undefined);
});

/** Returns a predicate for a TermLostError with this term and reason. */
function isTermLostError(term: number, reason: TermLossReason): (err: unknown) => boolean {
  return (err) => err instanceof TermLostError && err.term === term && err.reason === reason;
}

test('a transaction that is refused as malformed ends the term and is not repeated', async () => {
  const { state, fleet, record, sync, flush, term } = await startRecorder({}, { txnOps: 4 });
  record(makeJob({ id: 'j-1', tasks: 5 }), 'accepted');
  await sync();
  const job = fleet.jobs.get('j-1')!;
  for (let i = 0; i < 5; i++)
    fleet.assignments.assign(job, i, registerMachine(fleet, `n-${i}`), 1, 0);
  const revision = state.service.store.revision;
  await assert.rejects(flush(0.1), isTermLostError(term, 'transaction-malformed'));
  assert.equal(state.service.store.revision, revision);
});

test('a delayed duplicate of a transaction does not recreate a record that was deleted in the meantime', async () => {
  const { state, fleet, record, sync, flush, tasksOn } = await startRecorder();
  record(makeJob({ id: 'j-1', tasks: 3 }), 'accepted');
  await sync();
  const job = fleet.jobs.get('j-1')!;
  fleet.assignments.assign(job, 0, registerMachine(fleet, 'n-1'), 1, 0);
  const [leastS, mostS] = [5, 6];
  state.service.beginLateTransactions(1, [leastS, mostS]);
  const flushed = flush();
  await state.run(0.2);
  state.service.endReplyLoss();
  await flushed;
  assert.deepEqual(tasksOn('n-1'), ['j-1']);
  fleet.removeMachine('n-1', 0);
  await flush();
  assert.equal(tasksOn('n-1'), undefined);
  await state.run(mostS);
  assert.equal(tasksOn('n-1'), undefined);
  // Records can still be created after a deletion.
  fleet.assignments.assign(job, 1, registerMachine(fleet, 'n-2'), 2, 0);
  await flush();
  assert.deepEqual(tasksOn('n-2'), ['j-1']);
});

test('a record that another writer has changed ends the term', async () => {
  const { store, fleet, record, sync, flush, term } = await startRecorder();
  record(makeJob({ id: 'j-1' }), 'accepted');
  await sync();
  fleet.assignments.assign(fleet.jobs.get('j-1')!, 0, registerMachine(fleet, 'n-1'), 1, 0);
  store.apply([{ put: `${MACHINES_PREFIX}n-1`, value: { tasks: [] } }]);
  await assert.rejects(flush(), isTermLostError(term, 'record-changed'));
});

/** Creates a recorder whose fleet state has `count` open jobs and as many empty machines. */
async function createRecorderWithJobs(count: number) {
  const world = await startRecorder();
  const ids = Array.from({ length: count }, (_, i) => `j-${i + 1}`);
  for (const [i, id] of ids.entries()) world.record(makeJob({ id, rank: i % 4 }), 'accepted');
  await world.sync();
  const jobs = ids.map((id) => world.fleet.jobs.get(id)!);
  const machines = ids.map((_, i) => registerMachine(world.fleet, `n-${i + 1}`));
  return { ...world, jobs, machines };
}

test('while the budget is short, urgent starts are recorded first, and ended tasks with the next start', async () => {
  const { state, client, fleet, recorder, flush, tasksOn, jobs, machines } =
    await createRecorderWithJobs(60);
  const endingAssignments = jobs.slice(0, 20).map((job, i) => {
    return fleet.assignments.assign(job, 0, machines[i], 1, 0);
  });
  await flush();
  // Other callers use up the budget.
  const others = Array.from({ length: 40 }, (_, i) => ({ put: `x/${i}`, value: 0 }));
  for (let i = 0; i < 2; i++) void client.txnInBackground([], others.slice(20 * i, 20 * i + 20));
  await state.run(0.01);
  assert.ok(!client.hasSpareChanges);
  for (const assignment of endingAssignments)
    fleet.assignments.end(assignment, 'lost', false, state.now);
  assert.ok(!recorder.hasPendingChanges);
  jobs.slice(20).forEach((job, i) => fleet.assignments.assign(job, 0, machines[20 + i], 1, 0));
  assert.ok(recorder.hasPendingChanges);
  void recorder.flush(new AbortController().signal);
  await state.run(0.9);
  const countRecordedStarts = (rank: number) =>
    jobs.slice(20).filter((job, i) => {
      return job.spec.rank === rank && tasksOn(`n-${21 + i}`) !== undefined;
    }).length;
  assert.equal(countRecordedStarts(0), 10);
  assert.equal(countRecordedStarts(3), 0);
  assert.deepEqual(tasksOn('n-1'), ['j-1']);
  // A start on a machine records the ended tasks of that machine; the others are recorded once budget is spare.
  fleet.assignments.assign(jobs[5], 0, machines[0], 2, state.now);
  await flush();
  assert.deepEqual(tasksOn('n-1'), ['j-6']);
  await state.run(1);
  await flush();
  assert.deepEqual(tasksOn('n-2'), []);
});
