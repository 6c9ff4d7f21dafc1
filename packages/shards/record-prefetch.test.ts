import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StateWorld } from '#testing';
import { listAll } from '#store';
import { RecordPrefetch } from './record-prefetch.js';

const LIMITS = { rps: 5000, writeRps: 5000, valueBytes: 8192, txnOps: 24 };
const PREFIX = 'machines/';
/** More than one page. */
const RECORDS = 2500;

async function aFleetOfRecords() {
  const state = await StateWorld.start(LIMITS);
  const client = state.client(state.controller());
  const { store } = state.service;
  for (let i = 0; i < RECORDS; i++) store.apply([{ put: `${PREFIX}n-${i}`, value: { i } }]);
  const { signal } = new AbortController();
  /** Lets time pass until the promise is fulfilled or rejected. */
  const settle = async <T>(promise: Promise<T>): Promise<T> => {
    let done = false;
    void promise.finally(() => (done = true)).catch(() => {});
    assert.ok(await state.runUntil(() => done, 60));
    return promise;
  };
  return { store, client, signal, settle, ahead: new RecordPrefetch(client, [PREFIX]) };
}

test('prefetched records are those of the moment of the read, with one request', async () => {
  const { store, client, signal, settle, ahead } = await aFleetOfRecords();
  await settle(ahead.prepare(signal));
  store.apply([{ put: `${PREFIX}n-7`, value: 'changed' }, { delete: `${PREFIX}n-8` }]);
  store.apply([
    { put: `${PREFIX}n-new`, value: 'new' },
    { put: 'other/n-1', value: 0 },
  ]);
  store.apply([{ delete: `${PREFIX}n-9` }]);
  store.apply([{ put: `${PREFIX}n-9`, value: 'back' }]);
  const before = client.requestsSent;
  const read = await settle(ahead.read(PREFIX, signal));
  assert.equal(client.requestsSent - before, 1);
  const truth = await settle(listAll(client, PREFIX, signal));
  const byKey = (one: { key: string }, other: { key: string }) => (one.key < other.key ? -1 : 1);
  assert.deepEqual(read.sort(byKey), truth.sort(byKey));
  assert.equal(truth.length, RECORDS);
});

test('changes while the pages are read, and more than the service remembers, lose nothing', async () => {
  const { store, client, signal, settle, ahead } = await aFleetOfRecords();
  const preparing = ahead.prepare(signal);
  for (let i = 0; i < RECORDS; i += 5) store.apply([{ delete: `${PREFIX}n-${i}` }]);
  await settle(preparing);
  const count = async () => (await settle(ahead.read(PREFIX, signal))).length;
  assert.equal(await count(), RECORDS - RECORDS / 5);
  await settle(ahead.prepare(signal));
  for (let i = 0; i < 11_000; i++) store.apply([{ put: `${PREFIX}n-1`, value: i }]);
  const before = client.requestsSent;
  assert.equal(await count(), RECORDS - RECORDS / 5);
  assert.ok(client.requestsSent - before > 1, 'all was read again');
  ahead.clear();
  assert.equal(await count(), RECORDS - RECORDS / 5);
});
