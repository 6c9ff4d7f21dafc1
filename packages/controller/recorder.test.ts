import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import type { FleetState } from '#core';
import type { Job } from '#wire';
import {
  encodeJob,
  jobKey,
  JOBS,
  MACHINES,
  type MachineRecord,
  MAX_VALUE_BYTES,
  maxTasksPerMachine,
  partKey,
  PrefixCache,
  progressKey,
  type StateLimits,
} from '#store';
import { aBook, aJob, aMachine, StateWorld } from '#testing';
import { Cancellations } from './cancellations.js';
import { JobTable } from './jobs.js';
import { Recorder, TermBroken } from './recorder.js';

const REPORT_S = 1;
const LIMITS: StateLimits = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };

/** A recorder of a term whose book follows the jobs of the state service; it may take other limits for true. */
async function aRecorder(
  limits: Partial<StateLimits> = {},
  serviceLimits: Partial<StateLimits> = {},
) {
  const state = await StateWorld.start({ ...LIMITS, ...limits, ...serviceLimits });
  const { store } = state.service;
  const runtime = state.controller();
  const client = state.client(runtime, { limits: { ...LIMITS, ...limits } });
  const caching = { client, runtime, prefix: JOBS, watchMs: 10_000, syncSpacingMs: 0 };
  const cache = new PrefixCache(caching);
  const jobs = new JobTable(cache, new Cancellations(100, 70));
  const term = store.apply([{ put: partKey(0), value: {} }]);
  const book = aBook();
  const stop = new AbortController();
  const recorder = new Recorder({
    runtime,
    client,
    book,
    jobs,
    term: { part: 0, term, grant: 0, claimedAt: 0 },
    reportS: REPORT_S,
    log: pino({ enabled: false }),
  });
  jobs.changed.subscribe(({ job, phase }) => {
    book.addJob(job, 0, phase, state.now);
    if (phase !== 'accepted') recorder.jobRecords.over(job);
  });
  const record = (job: Job, phase: 'accepted' | 'aborted') =>
    store.apply([{ put: jobKey(job.id), value: encodeJob({ job, acceptedAtMs: 0, phase }) }]);
  const flushAll = async () => {
    while (recorder.pending) await recorder.flush(stop.signal);
  };
  /** Runs until nothing is left to record. */
  const flush = async (withinS = 10) => {
    let isOver = false;
    const flushed = flushAll().finally(() => (isOver = true));
    flushed.catch(() => {});
    assert.ok(await state.runUntil(() => isOver, withinS), 'all is recorded in time');
    await flushed;
  };
  const tasksOn = (name: string) =>
    (store.get(MACHINES + name)?.value as MachineRecord | undefined)?.tasks.map(([job]) => job);
  // The watch is held up after the first load; what comes later shows to those who ask for it.
  const watching = new AbortController();
  void cache.run(watching.signal);
  await state.run(0.1);
  watching.abort();
  const sync = async () => {
    void cache.sync();
    await state.run(0.1);
  };
  return { state, client, store, book, recorder, record, sync, flush, tasksOn, term };
}

test('a task is not recorded, and so never starts, once its job was cancelled', async () => {
  // Guards against starts after a confirmed cancellation that the watch had not brought yet.
  const { book, record, sync, flush, tasksOn } = await aRecorder();
  const [kept, cancelled] = ['j-1', 'j-2'].map((id) => aJob({ id }));
  for (const job of [kept, cancelled]) record(job, 'accepted');
  await sync();
  const [one, two] = ['n-1', 'n-2'].map((name) => aMachine(book, name));
  book.assignments.assign(book.jobs.get('j-1')!, 0, one, 1, 0);
  book.assignments.assign(book.jobs.get('j-2')!, 0, two, 2, 0);
  record(cancelled, 'aborted');
  await flush();
  assert.deepEqual(tasksOn('n-1'), ['j-1']);
  assert.equal(tasksOn('n-2'), undefined);
  assert.equal(book.jobs.get('j-2')!.phase, 'aborted');
  assert.equal(two.tasks.size, 0);
});

test('a cancellation between a transaction whose answer was lost and its repetition holds back the start', async () => {
  const { state, book, record, sync, flush, tasksOn } = await aRecorder();
  const job = aJob({ id: 'j-1' });
  record(job, 'accepted');
  await sync();
  const machine = aMachine(book, 'n-1');
  const assignment = book.assignments.assign(book.jobs.get('j-1')!, 0, machine, 1, 0);
  state.service.beginLostAnswers(1);
  const flushed = flush();
  await state.run(0.2);
  state.service.endLateWrites();
  assert.deepEqual(tasksOn('n-1'), ['j-1']);
  assert.ok(!assignment.recorded);
  record(job, 'aborted');
  await flushed;
  // It was never told to the worker, so its place is free at once.
  assert.equal(machine.tasks.size, 0);
  assert.deepEqual(tasksOn('n-1'), []);
});

test('more new jobs on a machine than a transaction has conditions are named one after another', async () => {
  const { book, record, sync, flush, tasksOn } = await aRecorder({ txnOps: 2 });
  const ids = Array.from({ length: 9 }, (_, i) => `j-${i + 1}`);
  for (const id of ids) record(aJob({ id, cpus: 1 }), 'accepted');
  await sync();
  const machine = aMachine(book, 'n-1');
  for (const id of ids) book.assignments.assign(book.jobs.get(id)!, 0, machine, 1, 0);
  await flush();
  assert.deepEqual(tasksOn('n-1'), ids);
  assert.ok([...machine.tasks.values()].every((assignment) => assignment.recorded));
});

test('a transaction that was applied without an answer is known by a record that it put', async () => {
  // Guards against version 0 of a deleted record as the revision of all: the token of a machine that was
  // handed over became 0, and the next change of its record ended the term.
  const { state, book, record, sync, flush, tasksOn, term } = await aRecorder();
  record(aJob({ id: 'j-1', tasks: 3 }), 'accepted');
  await sync();
  const job = book.jobs.get('j-1')!;
  const [released, handedOver] = ['n-1', 'n-2'].map((name) => aMachine(book, name));
  book.assignments.assign(job, 0, released, 1, 0);
  book.assignments.assign(job, 1, handedOver, 2, 0);
  await flush();
  book.removeMachine('n-1', 0);
  handedOver.fencing = true;
  book.assignments.assign(job, 2, handedOver, 3, 0);
  state.service.beginLostAnswers(1);
  const flushed = flush();
  await state.run(0.2);
  state.service.endLateWrites();
  // Known with the repetition, which does not wait for the first to time out.
  await state.run(0.2);
  assert.ok(handedOver.fenced);
  await flushed;
  assert.equal(tasksOn('n-1'), undefined);
  assert.equal(handedOver.token, state.service.store.get(`${MACHINES}n-2`)?.version);
  assert.ok(handedOver.token > term);
  book.assignments.stop(job.places.get(2)![0], 0, 0);
  await flush();
  assert.deepEqual(tasksOn('n-2'), ['j-1']);
  // A transaction that only deletes needs no revision.
  book.removeMachine('n-2', 0);
  state.service.beginLostAnswers(1);
  const deleted = flush();
  await state.run(0.2);
  state.service.endLateWrites();
  await deleted;
  assert.equal(tasksOn('n-2'), undefined);
});

/** A job of many tasks of which some are done. */
function aJobWithDone(book: FleetState, done: number[], tasks = 100_000) {
  const job = book.jobs.get('j-1') ?? book.addJob(aJob({ id: 'j-1', tasks }), 0, 'accepted', 0);
  for (const index of done) book.jobs.markDone(job, index);
  return job;
}

test('whatever the size of values and transactions, machines and progress are recorded in time', async () => {
  // Guards against a loop without a pause where no value could be sure to fit, and against transactions
  // that the state service refuses for ever because all parts of a job were to share one.
  const done = [0, 30_000, 60_000, 99_999];
  for (const [valueBytes, txnOps] of [
    [512, 2],
    [1024, 24],
    [8192, 2],
    [48 * 1024, 24],
    [MAX_VALUE_BYTES, 4],
  ]) {
    const { state, book, record, sync, flush, tasksOn } = await aRecorder({ valueBytes, txnOps });
    record(aJob({ id: 'j-1', tasks: 100_000 }), 'accepted');
    await sync();
    const job = aJobWithDone(book, done);
    const tasks = Math.min(maxTasksPerMachine(valueBytes), 700);
    const machine = aMachine(book, 'n-1');
    for (let index = 1; index <= tasks; index++) book.assignments.assign(job, index, machine, 1, 0);
    await flush();
    assert.equal(tasksOn('n-1')?.length, tasks);
    assert.ok(!job.unsaved);
    const revision = state.service.store.revision;
    aJobWithDone(book, [60_001]);
    await flush();
    // Only the part that differs is written.
    assert.equal(state.service.store.revision, revision + 1);
    assert.ok(!job.unsaved);
    assert.equal(state.service.store.get('jobs/j-1')?.version, 2);
  }
});

test('any number of machines to be recorded does not hold up the end of a job', async () => {
  const { state, book, record, sync, recorder } = await aRecorder();
  record(aJob({ id: 'j-1' }), 'accepted');
  await sync();
  for (let i = 0; i < 100; i++) {
    const job = book.addJob(aJob({ id: `j-1${i}` }), 0, 'accepted', 0);
    book.assignments.assign(job, 0, aMachine(book, `n-${i}`), 1, 0).recorded = true;
  }
  aJobWithDone(book, [0], 1);
  void recorder.flush(new AbortController().signal);
  await state.run(0.1);
  const value = state.service.store.get('jobs/j-1')?.value as { phase: string };
  assert.equal(value.phase, 'done');
});

test('a transaction that is called malformed ends the term and is not repeated', async () => {
  const { state, book, record, sync, flush } = await aRecorder({}, { txnOps: 4 });
  record(aJob({ id: 'j-1', tasks: 5 }), 'accepted');
  await sync();
  const job = book.jobs.get('j-1')!;
  for (let i = 0; i < 5; i++) book.assignments.assign(job, i, aMachine(book, `n-${i}`), 1, 0);
  const revision = state.service.store.revision;
  await assert.rejects(flush(0.1), TermBroken);
  assert.equal(state.service.store.revision, revision);
});

test('a late copy of a transaction does not bring back a record that was deleted meanwhile', async () => {
  const { state, book, record, sync, flush, tasksOn } = await aRecorder();
  record(aJob({ id: 'j-1', tasks: 3 }), 'accepted');
  await sync();
  const job = book.jobs.get('j-1')!;
  book.assignments.assign(job, 0, aMachine(book, 'n-1'), 1, 0);
  const [leastS, mostS] = [5, 6];
  state.service.beginLateWrites(1, [leastS, mostS]);
  const flushed = flush();
  await state.run(0.2);
  state.service.endLateWrites();
  await flushed;
  assert.deepEqual(tasksOn('n-1'), ['j-1']);
  book.removeMachine('n-1', 0);
  await flush();
  assert.equal(tasksOn('n-1'), undefined);
  await state.run(mostS);
  assert.equal(tasksOn('n-1'), undefined);
  // Records that were created after a deletion are fine.
  book.assignments.assign(job, 1, aMachine(book, 'n-2'), 2, 0);
  await flush();
  assert.deepEqual(tasksOn('n-2'), ['j-1']);
});

test('what a job has left of its progress is removed once it is over, also if that was in an earlier term', async () => {
  const { state, store, book, record, recorder, sync, flush } = await aRecorder();
  const keys = ['j-1', 'j-2', 'j-3'].map((id) => progressKey(id, 0));
  const jobs = ['j-1', 'j-2'].map((id) => aJob({ id, tasks: 2 }));
  for (const job of jobs) record(job, 'accepted');
  record(aJob({ id: 'j-3', tasks: 2 }), 'aborted');
  const left = store.apply([{ put: keys[2], value: { done: 'AQ==' } }]);
  await sync();
  recorder.jobRecords.loaded('j-3', 0, { version: left, text: 'AQ==' });
  for (const { id } of jobs) book.jobs.markDone(book.jobs.get(id)!, 0);
  // One is cancelled while its progress is on its way to be recorded.
  state.service.beginLostAnswers(1);
  const flushed = flush();
  await state.run(0.2);
  assert.ok(store.get(keys[0]) && store.get(keys[1]));
  record(jobs[0], 'aborted');
  await sync();
  state.service.endLateWrites();
  await flushed;
  assert.equal(book.jobs.get('j-1')!.phase, 'aborted');
  book.jobs.markDone(book.jobs.get('j-2')!, 1);
  await flush();
  assert.equal((store.get(jobKey('j-2'))?.value as { phase: string }).phase, 'done');
  assert.deepEqual(
    keys.map((key) => store.get(key)),
    [undefined, undefined, undefined],
  );
});

test('what is over is removed only while the budget has plenty', async () => {
  const { state, client, store, record, recorder, sync } = await aRecorder();
  record(aJob({ id: 'j-1', tasks: 2 }), 'aborted');
  const left = store.apply([{ put: progressKey('j-1', 0), value: { done: 'AQ==' } }]);
  await sync();
  recorder.jobRecords.loaded('j-1', 0, { version: left, text: 'AQ==' });
  assert.ok(recorder.pending);
  // Somebody else takes most of it.
  const others = Array.from({ length: LIMITS.txnOps + 10 }, () => ({ delete: 'x' }));
  client.txn([], others, false).catch(() => {});
  assert.ok(!recorder.pending);
  await state.run(0.6);
  assert.ok(recorder.pending);
});

test('a record that somebody else has changed ends the term', async () => {
  const { store, book, record, sync, flush } = await aRecorder();
  record(aJob({ id: 'j-1' }), 'accepted');
  await sync();
  book.assignments.assign(book.jobs.get('j-1')!, 0, aMachine(book, 'n-1'), 1, 0);
  store.apply([{ put: `${MACHINES}n-1`, value: { tasks: [] } }]);
  await assert.rejects(flush(), TermBroken);
});
