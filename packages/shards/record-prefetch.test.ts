import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StateServiceFixture } from '#testing';
import { listAll } from '#store';
import { RecordPrefetch } from './record-prefetch.js';

const LIMITS = { rps: 5000, writeRps: 5000, valueBytes: 8192, txnOps: 24 };
const PREFIX = 'machines/';
/** More records than one page holds. */
const RECORDS = 2500;

async function startStateWithRecords() {
  const state = await StateServiceFixture.start(LIMITS);
  const client = state.client(state.controller());
  const { store } = state.service;
  for (let i = 0; i < RECORDS; i++) store.apply([{ put: `${PREFIX}n-${i}`, value: { i } }]);
  const { signal } = new AbortController();
  /** Advances the simulated time until the promise is fulfilled or rejected. */
  const runUntilDone = async <T>(promise: Promise<T>): Promise<T> => {
    let done = false;
    void promise.finally(() => (done = true)).catch(() => {});
    assert.ok(await state.runUntil(() => done, 60));
    return promise;
  };
  return { store, client, signal, runUntilDone, prefetch: new RecordPrefetch(client, [PREFIX]) };
}

test('a read after prefetching returns the current records and sends one request', async () => {
  const { store, client, signal, runUntilDone, prefetch } = await startStateWithRecords();
  await runUntilDone(prefetch.prepare(signal));
  store.apply([{ put: `${PREFIX}n-7`, value: 'changed' }, { delete: `${PREFIX}n-8` }]);
  store.apply([
    { put: `${PREFIX}n-new`, value: 'new' },
    { put: 'other/n-1', value: 0 },
  ]);
  store.apply([{ delete: `${PREFIX}n-9` }]);
  store.apply([{ put: `${PREFIX}n-9`, value: 'back' }]);
  const before = client.requestsSent;
  const read = await runUntilDone(prefetch.read(PREFIX, signal));
  assert.equal(client.requestsSent - before, 1);
  const expected = await runUntilDone(listAll(client, PREFIX, signal));
  const byKey = (one: { key: string }, other: { key: string }) => (one.key < other.key ? -1 : 1);
  assert.deepEqual(read.sort(byKey), expected.sort(byKey));
  assert.equal(expected.length, RECORDS);
});

test('no record is lost to changes during prefetching, or to more changes than the service keeps', async () => {
  const { store, client, signal, runUntilDone, prefetch } = await startStateWithRecords();
  const preparing = prefetch.prepare(signal);
  for (let i = 0; i < RECORDS; i += 5) store.apply([{ delete: `${PREFIX}n-${i}` }]);
  await runUntilDone(preparing);
  const count = async () => (await runUntilDone(prefetch.read(PREFIX, signal))).length;
  assert.equal(await count(), RECORDS - RECORDS / 5);
  await runUntilDone(prefetch.prepare(signal));
  for (let i = 0; i < 11_000; i++) store.apply([{ put: `${PREFIX}n-1`, value: i }]);
  const before = client.requestsSent;
  assert.equal(await count(), RECORDS - RECORDS / 5);
  assert.ok(client.requestsSent - before > 1, 'all records are read again');
  prefetch.clear();
  assert.equal(await count(), RECORDS - RECORDS / 5);
});
