import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job } from '#wire';
import {
  encodeJob,
  jobKey,
  JOBS,
  MACHINES,
  type MachineRecord,
  partKey,
  PrefixCache,
  type StateLimits,
} from '#store';
import { aBook, aJob, aMachine, StateWorld } from '#testing';
import { Cancellations } from './cancellations.js';
import { JobTable } from './jobs.js';
import { makeLog } from './log.js';
import { Recorder, TermBroken } from './recorder.js';

const LIMITS: StateLimits = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };

/** A recorder of a term whose book follows the jobs of the state service. */
async function aRecorder(limits: Partial<StateLimits> = {}) {
  const state = await StateWorld.start({ ...LIMITS, ...limits });
  const { store } = state.service;
  const runtime = state.controller();
  const client = state.client(runtime);
  const caching = { client, runtime, prefix: JOBS, watchMs: 10_000, syncSpacingMs: 0 };
  const cache = new PrefixCache(caching);
  const jobs = new JobTable(cache, new Cancellations(100, 70));
  const term = store.apply([{ put: partKey(0), value: {} }]);
  const book = aBook();
  const stop = new AbortController();
  jobs.changed.subscribe(({ job, phase }) => book.addJob(job, 0, phase, state.now));
  const recorder = new Recorder({
    runtime,
    client,
    book,
    jobs,
    term: { part: 0, term, grant: 0, claimedAt: 0 },
    log: makeLog(runtime.clock, 'c', 'error'),
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
  return { state, store, book, record, sync, flush, tasksOn, term };
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
  await state.run(0.5);
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

test('a record that somebody else has changed ends the term', async () => {
  const { store, book, record, sync, flush } = await aRecorder();
  record(aJob({ id: 'j-1' }), 'accepted');
  await sync();
  book.assignments.assign(book.jobs.get('j-1')!, 0, aMachine(book, 'n-1'), 1, 0);
  store.apply([{ put: `${MACHINES}n-1`, value: { tasks: [] } }]);
  await assert.rejects(flush(), TermBroken);
});
