import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeJob, jobKey, JOBS_PREFIX, PrefixCache } from '#store';
import { makeFleet, makeJob, SMALL_CLUSTER, StateServiceFixture, usedMemoryBytes } from '#testing';
import type { Job } from '#wire';
import { Cancellations } from '../peers/cancellations.js';

import { JobMemory } from './job-memory.js';
import { openJobBytes } from './job-memory-estimate.js';
import { jobMemoryLimits } from './job-memory-limits.js';
import { JobTable } from './job-table.js';

const LIMITS = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };
const BODY_BYTES = 500;
const WARM_UP_JOBS = 100;
/** Collections after which nothing of earlier tests is left to be freed. */
const COLLECTIONS = 3;

function jobId(number: number): string {
  return `j-${String(number).padStart(6, '0')}`;
}

/** Bytes in use once what earlier tests have left is collected. */
async function stableMemoryBytes(): Promise<number> {
  for (let collection = 0; collection < COLLECTIONS; collection++) {
    usedMemoryBytes();
    await new Promise((resolve) => setImmediate(resolve));
  }
  return usedMemoryBytes();
}

/** A job table whose jobs a leader's fleet state contains, too. */
async function createLeader() {
  const state = await StateServiceFixture.start(LIMITS);
  const runtime = state.controller();
  const client = state.client(runtime);
  const caching = { client, runtime, prefix: JOBS_PREFIX, watchMs: 10_000, syncSpacingMs: 0 };
  const cache = new PrefixCache(caching);
  const jobs = new JobTable(cache, new Cancellations(100, 70));
  const fleet = makeFleet();
  jobs.events.subscribe((event) => {
    if (event.kind !== 'record') return;
    const { job, phase } = event.record;
    const dependencies = {
      hasOpenDependencies: jobs.hasOpenDependencies(job.id),
      rank: jobs.urgencyOf(job.id).rank,
    };
    fleet.addJob(job, 0, phase, 0, { dependencies });
  });
  let version = 0;
  /** Applies a record as it is read from the state service: its strings are not shared with other records. */
  const record = (job: Job, phase: 'accepted' | 'done' | 'cancelled' = 'accepted') => {
    const value = encodeJob({ job, acceptedAtMs: 1_800_000_000_000, phase });
    cache.applyLocal(jobKey(job.id), JSON.parse(JSON.stringify(value)) as unknown, ++version);
  };
  return { jobs, fleet, record };
}

const DEPENDENCIES = Array.from({ length: 690 }, (_, number) => jobId(number));
const TYPES = Array.from({ length: 600 }, (_, number) => `type-${100 + number}`);
const SIZED_JOBS: Record<string, Partial<Job>> = {
  'hundreds of dependencies': { awaits: DEPENDENCIES },
  'hundreds of machine types': { types: TYPES },
  'the largest number of tasks': { tasks: 100_000 },
  'one task': {},
};

for (const [name, fields] of Object.entries(SIZED_JOBS)) {
  // Guards against records that take several times the memory for which jobs are admitted: with 690 dependencies each,
  // 620 jobs filled the heap of every controller.
  test(`an open job with ${name} takes no more memory at a leader than is estimated`, async () => {
    const { jobs, fleet, record } = await createLeader();
    for (const id of DEPENDENCIES) record(makeJob({ id }));
    // Code that is compiled with the first jobs takes memory, too, which is not that of the jobs.
    for (let number = 0; number < WARM_UP_JOBS; number++) {
      record(makeJob({ ...fields, id: jobId(5000 + number) }));
    }
    const before = await stableMemoryBytes();
    const count = 400;
    for (let number = 0; number < count; number++) {
      record(makeJob({ ...fields, id: jobId(1000 + number) }));
    }
    const perJob = ((await stableMemoryBytes()) - before) / count;
    assert.ok(fleet.jobs.has(jobId(1000)) && jobs.get(jobId(1000)));
    const estimate = openJobBytes(makeJob(fields));
    assert.ok(perJob <= estimate, `${perJob} bytes, estimated ${estimate}`);
  });
}

test('the memory of jobs is counted again as they are cancelled with a dependency or done', async () => {
  const { jobs, record } = await createLeader();
  const chained = makeJob({ id: 'j-2', awaits: ['j-1'] });
  record(makeJob({ id: 'j-1' }));
  record(chained);
  record(chained);
  record(makeJob({ id: 'j-3' }));
  const open = jobs.memory.usedBytes;
  assert.equal(open, 2 * openJobBytes(makeJob({})) + openJobBytes(chained));
  record(makeJob({ id: 'j-1' }), 'cancelled');
  record(chained, 'cancelled');
  record(makeJob({ id: 'j-3' }), 'done');
  assert.ok(jobs.memory.usedBytes < open / 2, `${jobs.memory.usedBytes} of ${open}`);
});

test('full records of ended jobs give way when memory is short', () => {
  const memory = new JobMemory({ limitBytes: 100_000, teams: 1 });
  assert.ok(memory.canKeepEndedRecords);
  for (let number = 0; number < 30; number++) memory.addOpen(makeJob({}));
  assert.ok(!memory.canKeepEndedRecords);
});

/** Reserves memory for jobs of the team until one is refused; returns how many were not. */
function fill(memory: JobMemory, team: string): number {
  let count = 0;
  while (memory.reserve(makeJob({ team }), BODY_BYTES) !== null) count++;
  return count;
}

test('a team with many jobs leaves memory for the others, and a single team may take all of it', () => {
  const memory = new JobMemory({ limitBytes: 1e6, teams: 2 });
  const first = fill(memory, 'red');
  const second = fill(memory, 'blue');
  assert.ok(Math.abs(first / second - 3) < 0.1, `${first} and ${second}`);
  assert.ok(memory.usedBytes <= 1e6);
  const alone = fill(new JobMemory({ limitBytes: 1e6, teams: 1 }), 'red');
  assert.ok(Math.abs(alone - first - second) <= 1, `${alone}`);
});

test('memory that a submission or an open job has given up is free for others', () => {
  const memory = new JobMemory({ limitBytes: 20_000, teams: 1 });
  const reservation = memory.reserve(makeJob({}), BODY_BYTES)!;
  const count = 1 + fill(memory, 'red');
  assert.equal(memory.reserve(makeJob({}), BODY_BYTES), null);
  reservation.release();
  assert.notEqual(memory.reserve(makeJob({}), BODY_BYTES), null);
  assert.ok(count > 1);
});

test('ended jobs, whose number never falls, do not keep out new jobs for good', () => {
  const memory = new JobMemory({ limitBytes: 1e6, teams: 1 });
  for (let number = 0; number < 100_000; number++) memory.addEnded();
  assert.ok(fill(memory, 'red') > 50);
});

test('the limit follows the memory and the sockets of the settings', () => {
  const limitOf = (memoryMb: number, sockets: number) => {
    const { deployment } = SMALL_CLUSTER;
    const limits = { ...deployment.limits, memory_mb: memoryMb, sockets };
    return jobMemoryLimits({ ...deployment, nodes: 3, limits }).limitBytes;
  };
  const sizes = [16, 64, 88, 114, 250, 1000, 4000];
  const limits = sizes.map((size) => limitOf(size, 700));
  assert.deepEqual(
    limits,
    [...limits].sort((one, other) => one - other),
  );
  for (const [index, bytes] of limits.entries()) {
    assert.ok(bytes > 0 && bytes < sizes[index] * 2 ** 20, `${bytes} of ${sizes[index]} MB`);
  }
  assert.ok(limitOf(4000, 700) > 30 * limitOf(114, 700));
  assert.ok(limitOf(250, 2000) < limitOf(250, 700));
});
