import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type FleetState, MAX_ENTRY_BYTES } from '#core';
import { jobKey, MAX_VALUE_BYTES, progressKey } from '#store';
import { aJob, aMachine, aRecorder, RECORDER_LIMITS } from '#testing';

/** Marks tasks of job j-1 as done, and adds the job first if the fleet state has none. */
function ensureJobWithDoneTasks(fleet: FleetState, done: number[], tasks = 100_000) {
  const job = fleet.jobs.get('j-1') ?? fleet.addJob(aJob({ id: 'j-1', tasks }), 0, 'accepted', 0);
  for (const index of done) fleet.jobs.markDone(job, index);
  return job;
}

test('machines and progress are recorded in time with any limits of values and transactions', async () => {
  // Guards against a busy loop where no value was certain to fit the limit, and against transactions that the state
  // service refuses forever because they hold all chunks of a job.
  const done = [0, 30_000, 60_000, 99_999];
  for (const [valueBytes, txnOps] of [
    [512, 2],
    [1024, 24],
    [8192, 2],
    [48 * 1024, 24],
    [MAX_VALUE_BYTES, 4],
  ]) {
    const { state, fleet, record, sync, flush, tasksOn } = await aRecorder({ valueBytes, txnOps });
    record(aJob({ id: 'j-1', tasks: 100_000 }), 'accepted');
    await sync();
    const job = ensureJobWithDoneTasks(fleet, done);
    const machine = aMachine(fleet, 'n-1');
    let tasks = 0;
    while (tasks < 700 && machine.recordBytes + MAX_ENTRY_BYTES <= valueBytes)
      fleet.assignments.assign(job, ++tasks, machine, Number.MAX_SAFE_INTEGER, 0);
    assert.ok(tasks >= valueBytes / 64 - 4 || tasks === 700);
    await flush();
    assert.equal(tasksOn('n-1')?.length, tasks);
    assert.equal(fleet.unrecordedChanges.doneTasksOf(job.spec.id).size, 0);
    const revision = state.service.store.revision;
    ensureJobWithDoneTasks(fleet, [60_001]);
    await flush();
    // Only the changed chunk is written.
    assert.equal(state.service.store.revision, revision + 1);
    assert.equal(fleet.unrecordedChanges.doneTasksOf(job.spec.id).size, 0);
    assert.equal(state.service.store.get('jobs/j-1')?.version, 2);
  }
});

test('unrecorded machines do not delay the recording of a job end, however many there are', async () => {
  const { state, fleet, record, sync, recorder } = await aRecorder();
  record(aJob({ id: 'j-1' }), 'accepted');
  await sync();
  for (let i = 0; i < 100; i++) {
    const job = fleet.addJob(aJob({ id: `j-1${i}` }), 0, 'accepted', 0);
    fleet.assignments.assign(job, 0, aMachine(fleet, `n-${i}`), 1, 0).recorded = true;
  }
  ensureJobWithDoneTasks(fleet, [0], 1);
  void recorder.flush(new AbortController().signal);
  await state.run(0.1);
  const value = state.service.store.get('jobs/j-1')?.value as { phase: string };
  assert.equal(value.phase, 'done');
});

test('progress records are deleted once their job has ended, also in an earlier term', async () => {
  const { state, store, fleet, record, recorder, sync, flush } = await aRecorder();
  const keys = ['j-1', 'j-2', 'j-3'].map((id) => progressKey(id, 0));
  const jobs = ['j-1', 'j-2'].map((id) => aJob({ id, tasks: 2 }));
  for (const job of jobs) record(job, 'accepted');
  record(aJob({ id: 'j-3', tasks: 2 }), 'cancelled');
  const leftoverVersion = store.apply([{ put: keys[2], value: { done: 'AQ==' } }]);
  await sync();
  recorder.jobRecords.restore('j-3', {
    label: 0,
    value: { done: 'AQ==' },
    version: leftoverVersion,
  });
  for (const { id } of jobs) fleet.jobs.markDone(fleet.jobs.get(id)!, 0);
  // Job j-1 is cancelled while the transaction with its progress is in flight.
  state.service.beginLostAnswers(1);
  const flushed = flush();
  await state.run(0.2);
  assert.ok(store.get(keys[0]) && store.get(keys[1]));
  record(jobs[0], 'cancelled');
  await sync();
  state.service.endLateWrites();
  await flushed;
  assert.equal(fleet.jobs.get('j-1')!.phase, 'cancelled');
  fleet.jobs.markDone(fleet.jobs.get('j-2')!, 1);
  await flush();
  assert.equal((store.get(jobKey('j-2'))?.value as { phase: string }).phase, 'done');
  assert.deepEqual(
    keys.map((key) => store.get(key)),
    [undefined, undefined, undefined],
  );
});

test('progress records of ended jobs are deleted only while the budget has spare changes', async () => {
  const { state, client, store, record, recorder, sync } = await aRecorder();
  record(aJob({ id: 'j-1', tasks: 2 }), 'cancelled');
  const leftoverVersion = store.apply([{ put: progressKey('j-1', 0), value: { done: 'AQ==' } }]);
  await sync();
  recorder.jobRecords.restore('j-1', {
    label: 0,
    value: { done: 'AQ==' },
    version: leftoverVersion,
  });
  assert.ok(recorder.hasPendingChanges);
  // Another caller uses most of the budget.
  const others = Array.from({ length: RECORDER_LIMITS.txnOps + 10 }, () => ({ delete: 'x' }));
  client.txnInBackground([], others).catch(() => {});
  assert.ok(!recorder.hasPendingChanges);
  await state.run(0.6);
  assert.ok(recorder.hasPendingChanges);
});
