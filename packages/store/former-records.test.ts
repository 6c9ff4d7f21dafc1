/**
 * Compatibility with stored records of an older version, the last one without job dependencies (docs/upgrading.md).
 * former-records.json holds its records.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { TaskSet } from '../core/model/task-set.js';
import { decodeJob, encodeJob } from './codecs/job-codec.js';
import { decodeLeader, encodeLeader } from './codecs/leader-codec.js';
import { ProgressLayout, progressKey, type ProgressValue } from './progress-layout.js';
import { jobKey, MACHINES_PREFIX, shardKey, TYPES_KEY } from './record-keys.js';

interface FormerRecord<Value> {
  key: string;
  value: Value;
}

/** Content of former-records.json. */
interface FormerRecords {
  jobs: FormerRecord<unknown>[];
  progress: FormerRecord<ProgressValue>[];
  machines: FormerRecord<unknown>[];

  // eslint-disable-next-line local/retired-words -- the name in former-records.json
  part: FormerRecord<unknown>;
  types: FormerRecord<unknown>;
  /** Tasks that are marked as completed in the progress records. */
  done: number[];
}

const FILE = new URL('../../packages/store/former-records.json', import.meta.url);
const FORMER = JSON.parse(readFileSync(FILE, 'utf8')) as FormerRecords;
/** Value limit under which the records were written, and maximum number of tasks of a job. */
const VALUE_BYTES = 8192;
const TASKS = 100_000;

test('job records of the older version are decoded, and encoded in the same form', () => {
  assert.ok(FORMER.jobs.length >= 3);
  for (const { key, value } of FORMER.jobs) {
    const record = decodeJob(value, 5);
    assert.deepEqual(record.job.awaits, []);
    assert.equal(jobKey(record.job.id), key);
    assert.deepEqual(encodeJob(record), value);
  }
});

test('older progress records are decoded under two value limits, and encoded alike under their own limit', () => {
  for (const valueBytes of [VALUE_BYTES, 2048]) {
    const layout = new ProgressLayout({ valueBytes, layoutBytes: VALUE_BYTES });
    const done = new TaskSet(TASKS);
    for (const { key, value } of FORMER.progress) {
      done.addBase64(layout.firstTask(Number(key.split('/').at(-1)), value), value.done);
    }
    assert.equal(done.size, FORMER.done.length);
    assert.ok(FORMER.done.every((task) => done.has(task)));
    if (valueBytes < VALUE_BYTES) continue;
    for (const [index, { key, value }] of FORMER.progress.entries()) {
      assert.equal(key, progressKey('j-000412', index));
      const chunk = layout.chunkOf('j-000412', TASKS, index * layout.legacyChunkTasks);
      assert.equal(chunk.key, key);
      assert.deepEqual(layout.encodeChunk(chunk, done.toBase64(chunk.first, chunk.tasks)), value);
    }
  }
});

test('all other records of the older version have the keys under which they are read', () => {
  assert.ok(FORMER.machines.every(({ key }) => key.startsWith(MACHINES_PREFIX)));
  assert.deepEqual([FORMER.part.key, FORMER.types.key], [shardKey(0), TYPES_KEY]);
});

test('the leader record of the older version is decoded, and encoded in the same form', () => {
  const record = decodeLeader(FORMER.part.value);
  assert.deepEqual(record, { leader: 'berth-0', leaseId: 7 });
  assert.deepEqual(encodeLeader(record), FORMER.part.value);
});
