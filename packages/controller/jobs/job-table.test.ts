import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeJob, jobKey, JOBS_PREFIX, PrefixCache } from '#store';
import { makeJob, StateServiceFixture, usedMemoryBytes } from '#testing';
import { Cancellations } from '../peers/cancellations.js';
import { JobTable } from './job-table.js';

const LIMITS = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };
/** Heap that one ended or open job may take, for the smallest supported controller; bytes. */
const ENDED_JOB_BYTES = 300;
const OPEN_JOB_BYTES = 600;

async function createTable() {
  const state = await StateServiceFixture.start(LIMITS);
  const runtime = state.controller();
  const client = state.client(runtime);
  const caching = { client, runtime, prefix: JOBS_PREFIX, watchMs: 10_000, syncSpacingMs: 0 };
  const cache = new PrefixCache(caching);
  return { state, cache, jobs: new JobTable(cache, new Cancellations(100, 70)) };
}

/** Creates a record as it is read from the state service: its strings are not shared with other records. */
function createRecordEntry(number: number, phase: 'accepted' | 'done'): [string, unknown] {
  const id = `j-${String(number).padStart(6, '0')}`;
  const job = makeJob({ id, cpus: 0.25 + number / 1e6, memory: 0.9 + number / 1e6 });
  const value = encodeJob({ job, acceptedAtMs: 1_800_000_000_000 + number, phase });
  return [jobKey(id), JSON.parse(JSON.stringify(value)) as unknown];
}

for (const [phase, limit] of [
  ['done', ENDED_JOB_BYTES],
  ['accepted', OPEN_JOB_BYTES],
] as const) {
  test(`a job that is ${phase} takes less than ${limit} bytes of heap among 20,000 jobs`, async () => {
    const { cache, jobs } = await createTable();
    const before = usedMemoryBytes();
    const count = 20_000;
    for (let number = 0; number < count; number++) {
      const [key, value] = createRecordEntry(number, phase);
      cache.applyLocal(key, value, number + 1);
    }
    const perJob = (usedMemoryBytes() - before) / count;
    assert.equal([...jobs.ids()].length, count);
    assert.ok(perJob < limit, `${perJob} bytes`);
  });
}

test('all ended jobs keep their final phase, and recently ended ones their full records', async () => {
  const { cache, jobs } = await createTable();
  for (let number = 0; number < 2000; number++)
    cache.applyLocal(...createRecordEntry(number, 'done'), number + 1);
  const view = { phase: 'done', done: 1, running: 0 };
  for (const id of ['j-000000', 'j-001999']) {
    assert.deepEqual(jobs.view(id, jobs.get(id)!), { id, ...view });
  }
  assert.equal(jobs.fullRecord('j-000000'), undefined);
  assert.equal(jobs.fullRecord('j-001999')?.job.id, 'j-001999');
});

test('each change of a job emits one event, in order, also for the jobs that depend on it', async () => {
  const { cache, jobs } = await createTable();
  const events: string[] = [];
  jobs.events.subscribe((event) => {
    if (event.kind !== 'record') events.push(`${event.kind} ${event.job}`);
    else events.push(`${event.record.phase} ${event.record.job.id}`);
  });
  let version = 0;
  const record = (id: string, dependencies: string[], phase: 'accepted' | 'cancelled' | 'done') => {
    const value = encodeJob({
      job: makeJob({ id, awaits: dependencies, rank: 2 }),
      acceptedAtMs: 0,
      phase,
    });
    cache.applyLocal(jobKey(id), value, ++version);
  };
  record('j-1', [], 'accepted');
  record('j-2', ['j-1'], 'accepted');
  record('j-3', ['j-2'], 'accepted');
  assert.deepEqual(jobs.openDependenciesOf('j-3'), ['j-2']);
  record('j-1', [], 'done');
  record('j-2', ['j-1'], 'cancelled');
  assert.deepEqual(events, [
    'accepted j-1',
    'accepted j-2',
    'accepted j-3',
    'done j-1',
    'startable j-2',
    'cancelled j-2',
    'cancelled j-3',
  ]);
  assert.ok(jobs.isCancelled('j-3'));
});
