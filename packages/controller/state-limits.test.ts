import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { emptyRecordBytes } from '../core/model/machine-record-size.js';
import {
  encodeEndedJob,
  decodeJob,
  jobKey,
  MACHINES_PREFIX,
  PrefixCache,
  progressKey,
  ProgressLayout,
  PROGRESS_PREFIX,
  sizeInJson,
  TYPES_KEY,
  type ProgressValue,
  CLUSTER_PREFIX,
} from '#store';
import { aJob, aMachine, aRecorder, STD, StateWorld } from '#testing';
import { MachineTypes } from './cloud/machine-types.js';
import { loadSettings } from './settings/settings.js';
import { SettingsError } from './settings/settings-error.js';
import { stateLimits } from './state-access.js';

const EXAMPLE = fileURLToPath(new URL('../../examples/settings.toml', import.meta.url));
const CURRENT_LIMITS = { rps: 150, write_rps: 50, value_kb: 8, txn_ops: 24 };

/** Reads progress records like an older version: the number in a key, times `unit`, is the chunk's first task. */
function readAsOlderVersion(records: [string, unknown][], unit: number): Set<number> {
  const done = new Set<number>();
  for (const [key, value] of records) {
    const [, label] = key.slice(PROGRESS_PREFIX.length).split('/');
    const bytes = Buffer.from((value as { done: string }).done, 'base64');
    for (let i = 0; i < bytes.length * 8; i++) {
      if (bytes[i >> 3] & (1 << (i & 7))) done.add(Number(label) * unit + i);
    }
  }
  return done;
}

test('all requests keep to the smaller of the current and the announced limits', () => {
  assert.deepEqual(
    stateLimits({ ...CURRENT_LIMITS, next: { value_kb: 2, txn_ops: 16, write_rps: 60 } }),
    {
      rps: 150,
      writeRps: 50,
      valueBytes: 2048,
      txnOps: 16,
      layoutBytes: 8192,
    },
  );
  assert.deepEqual(stateLimits(CURRENT_LIMITS), stateLimits({ ...CURRENT_LIMITS, next: {} }));
  assert.equal(stateLimits({ ...CURRENT_LIMITS, value_kb: 64 }).valueBytes, 56 * 1024);
});

test('announced limits are read from the settings file, and invalid ones are refused by name when it is loaded', (t) => {
  const directory = mkdtempSync(path.join(tmpdir(), 'limits-'));
  t.after(() => rmSync(directory, { recursive: true }));
  const file = path.join(directory, 'settings.toml');
  const load = (next: string) => {
    writeFileSync(file, `${readFileSync(EXAMPLE, 'utf8')}\n[deployment.state.next]\n${next}\n`);
    return { ...loadSettings(file, null).deployment.state.next };
  };
  assert.deepEqual(load('value_kb = 2.0\ntxn_ops = 16'), { value_kb: 2, txn_ops: 16 });
  assert.deepEqual(load(''), {});
  for (const bad of ['txn_ops = 1', 'txn_ops = 2.5', 'value_kb = 0', 'write_rps = "many"']) {
    const [field] = bad.split(' ');
    const errorPattern = new RegExp(`deployment\\.state\\.next\\.${field}`);
    assert.throws(
      () => load(bad),
      (err) => err instanceof SettingsError && errorPattern.test(err.message),
    );
  }
});

test('chunks of done tasks keep to the smaller limit, and an older version reads the same tasks from them', () => {
  for (const [layoutBytes, valueBytes] of [
    [8192, 2048],
    [8192, 3000],
    [8192, 600],
    [56 * 1024, 1024],
    [7475, 2048],
    [2048, 2048],
  ]) {
    const layout = new ProgressLayout({ valueBytes, layoutBytes });
    const old = new ProgressLayout({ valueBytes: layoutBytes });
    for (const tasks of [1, 4000, 100_000]) {
      const keys = new Set<string>();
      for (let task = 0; task < tasks; task += 97) {
        const { key, first, tasks: size } = layout.chunkOf('j-1', tasks, task);
        assert.ok(task >= first && task < first + size && first % 8 === 0 && size % 8 === 0);
        const label = Number(key.split('/').at(-1));
        assert.equal(label * old.legacyChunkTasks, first, `${layoutBytes} ${valueBytes}: ${key}`);
        const bytes = Math.ceil(Math.min(size, tasks - first) / 8);
        const value = layout.encodeChunk(
          { key, first, tasks: size },
          'x'.repeat(4 * Math.ceil(bytes / 3)),
        );
        assert.ok(sizeInJson(value) <= valueBytes, `${sizeInJson(value)} of ${valueBytes}`);
        assert.equal(layout.firstTask(label, value), first);
        keys.add(key);
      }
      // A job that fits one chunk of the older version and one value keeps the record key of the older version.
      if (tasks <= 4000 && valueBytes >= 2048) assert.deepEqual([...keys], [progressKey('j-1', 0)]);
    }
  }
});

test('chunks recorded by an older version under a larger limit are read, and rewritten within the smaller limit', async () => {
  const limits = { valueBytes: 2048, layoutBytes: 8192 };
  const { state, store, fleet, record, recorder, sync, flush } = await aRecorder(limits);
  const { legacyChunkTasks } = new ProgressLayout({ valueBytes: 8192 });
  const tasks = 100_000;
  record(aJob({ id: 'j-1', tasks }), 'accepted');
  await sync();
  const done = [
    0,
    7,
    6143,
    6144,
    20_000,
    legacyChunkTasks - 1,
    legacyChunkTasks,
    2 * legacyChunkTasks + 5,
    tasks - 1,
  ];
  for (const label of [0, 1, 2, 4]) {
    const bits = Buffer.alloc(Math.min(legacyChunkTasks, tasks - label * legacyChunkTasks) / 8);
    for (const task of done) {
      const bit = task - label * legacyChunkTasks;
      if (bit >= 0 && bit < bits.length * 8) bits[bit >> 3] |= 1 << (bit & 7);
    }
    const value = { done: bits.toString('base64') };
    const version = store.apply([{ put: progressKey('j-1', label), value }]);
    recorder.jobRecords.restore('j-1', { label, value, version });
  }
  const job = fleet.jobs.get('j-1')!;
  assert.deepEqual(
    done.filter((task) => !job.done.has(task)),
    [],
  );
  assert.equal(job.done.size, done.length);
  for (const task of [1, 30_000]) fleet.jobs.markDone(job, task);
  await flush();
  const written = store.list(PROGRESS_PREFIX, '', 1000).entries;
  const records = written.map(({ key, value }): [string, unknown] => [key, value]);
  const expected = [...done, 1, 30_000].sort((one, other) => one - other);
  assert.deepEqual(
    [...readAsOlderVersion(records, legacyChunkTasks)].sort((a, b) => a - b),
    expected,
  );
  for (const { key, value, version } of written) {
    const isRewritten = version > state.service.store.get('jobs/j-1')!.version + 4;
    if (isRewritten) assert.ok(sizeInJson(value) <= 2048, `${key}: ${sizeInJson(value)}`);
  }
  // A new term of this version reads the rewritten chunks.
  const next = await aRecorder(limits);
  next.record(aJob({ id: 'j-1', tasks }), 'accepted');
  await next.sync();
  for (const { key, value, version } of written) {
    const label = Number(key.split('/').at(-1));
    next.recorder.jobRecords.restore('j-1', { label, value: value as ProgressValue, version });
  }
  assert.equal(next.fleet.jobs.get('j-1')!.done.size, expected.length);
});

test('a machine takes as many tasks as fit its record, and one with more tasks is recorded once they fit', async () => {
  // Guards against a machine record that was refused forever, since an older version wrote it under a larger limit.
  const limits = { valueBytes: 2048, layoutBytes: 8192 };
  const { store, fleet, record, recorder, sync, flush, tasksOn } = await aRecorder(limits);
  record(aJob({ id: 'j-000001', tasks: 300, cpus: 0.1, gpus: 0, memory: 0 }), 'accepted');
  await sync();
  const job = fleet.jobs.get('j-000001')!;
  const machine = aMachine(fleet, 'n-1');
  const attempt = 100 * 65_536;
  const tasks = Array.from({ length: 120 }, (_, index): [string, number, number] => [
    'j-000001',
    index,
    attempt + index,
  ]);
  const facts = { addr: '', type: 'std', zone: 'a', spot: false };
  const version = store.apply([{ put: `${MACHINES_PREFIX}n-1`, value: { ...facts, tasks } }]);
  recorder.machineRecords.restore('n-1', version);
  for (const [, index, number] of tasks) fleet.assignments.inherit(job, index, machine, number, 0);
  let onRecord = tasksOn('n-1')!.length;
  for (let index = 0; index < 100; index++) {
    fleet.assignments.end([...machine.tasks.values()][0], 'done', false, 1);
    await flush();
    const recordedTasks = tasksOn('n-1')!.length;
    // The record may list tasks that have ended, but never misses a running one.
    assert.ok(recordedTasks >= machine.tasks.size);
    onRecord = Math.min(onRecord, recordedTasks);
  }
  assert.equal(onRecord, machine.tasks.size);
  const other = aMachine(fleet, 'n-2');
  let index = 120;
  while (other.recordBytes + 60 <= limits.valueBytes) {
    fleet.assignments.assign(job, index, other, attempt + index++, 2);
  }
  await flush();
  assert.ok(other.tasks.size > 55, `${other.tasks.size} tasks`);
  assert.equal(tasksOn('n-2')!.length, other.tasks.size);
  const { value } = store.get(`${MACHINES_PREFIX}n-2`)!;
  assert.ok(sizeInJson(value) <= other.recordBytes && other.recordBytes <= 2048);
  assert.ok(emptyRecordBytes({ type: 'std', zone: 'a', spot: true }) < 150);
});

test('a job whose record exceeds the limit, as written by an older version, still becomes done or cancelled', () => {
  const types = Array.from({ length: 200 }, (_, number) => `a-type-with-a-long-name-${number}`);
  const job = aJob({ types, class: 'c'.repeat(256), image: 'é'.repeat(256), awaits: ['j-000002'] });
  for (const phase of ['done', 'cancelled'] as const) {
    const value = encodeEndedJob({ job, acceptedAtMs: 1e12, phase }, 2048);
    assert.ok(sizeInJson([{ put: jobKey(job.id), value }]) <= 2048);
    const read = decodeJob(value, 7);
    assert.deepEqual([read.phase, read.job.id, read.job.tasks], [phase, job.id, job.tasks]);
    assert.deepEqual([read.job.team, read.job.cpus], [job.team, job.cpus]);
  }
  const small = aJob();
  const whole = encodeEndedJob({ job: small, acceptedAtMs: 1, phase: 'done' }, 2048);
  assert.deepEqual(decodeJob(whole, 1).job, small);
});

test('machine types that exceed one value are recorded in several, and other controllers read all of them', async () => {
  const limits = { rps: 150, writeRps: 50, valueBytes: 2048, txnOps: 8 };
  const state = await StateWorld.start(limits);
  const signal = new AbortController().signal;
  const make = (address: string) => {
    const runtime = state.controller(address);
    const client = state.client(runtime);
    const caching = { client, runtime, prefix: CLUSTER_PREFIX, watchMs: 1000, syncSpacingMs: 0 };
    const world = new PrefixCache(caching);
    void world.run(signal);
    return new MachineTypes(client, world);
  };
  const [one, other] = ['10.0.0.1', '10.0.0.2'].map(make);
  const types = Array.from({ length: 30 }, (_, number) => ({ ...STD, name: `type-${number}` }));
  await state.run(0.2);
  void one.publish(types, signal);
  await state.run(1);
  assert.deepEqual(one.all(), types);
  assert.deepEqual(other.all(), types);
  void one.publish(types.slice(0, 3), signal);
  await state.run(1);
  assert.deepEqual(other.all(), types.slice(0, 3));
  assert.deepEqual(state.service.store.list(TYPES_KEY, '', 10).entries.length, 1);
});
