import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { pause, StateApi } from '#wire';
import { formatAddress, STATE_ADDRESS, StateServiceFixture } from '#testing';
import { PrefixCache } from './prefix-cache.js';
import { StateClient } from './state-client.js';

const LIMITS = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };
const PREFIX = 'jobs/';
const VALUE = 'x'.repeat(1000);
/** More than are written within the test. */
const MAX_WRITTEN = 5000;
const CONTROLLER_HOST = '10.0.0.1';

/** A running cache whose answers with changes are limited; `found` has the keys that it has applied. */
async function startCache(t: TestContext, maxChangesBytes: number, pageDelayMs = 0) {
  const state = await StateServiceFixture.start(LIMITS);
  const runtime = state.controller(CONTROLLER_HOST);
  const api = new StateApi(runtime, formatAddress(STATE_ADDRESS), 1000);
  const list = api.list.bind(api);
  const pages = t.mock.method(api, 'list', async (...parameters: Parameters<typeof list>) => {
    const page = await list(...parameters);
    await pause(runtime.clock, pageDelayMs);
    return page;
  }).mock;
  const client = new StateClient(runtime.clock, api, LIMITS, 1);
  const options = { client, runtime, watchMs: 5000, syncSpacingMs: 0, maxChangesBytes };
  const cache = new PrefixCache({ ...options, prefix: PREFIX });
  const found = new Set<string>();
  cache.changes.subscribe(({ key }) => found.add(key));
  const end = new AbortController();
  const running = cache.run(end.signal);
  const write = (name: string) => {
    state.service.store.apply([{ put: PREFIX + name, value: VALUE }]);
  };
  const isFound = (name: string) => found.has(PREFIX + name);
  const stop = async () => {
    end.abort();
    await state.run(1);
    await running;
  };
  write('first');
  assert.ok(await state.runUntil(() => isFound('first') && cache.isLoaded, 5));
  return { state, client, cache, pages, found, write, isFound, stop };
}

test('a cache that has missed more changes than an answer may hold reads the keys again, page by page', async (t) => {
  // Guards against an answer with all records that were written while a controller did not reach the state service:
  // nothing limits its size, and decoded it takes several times as much memory.
  const { state, client, cache, pages, found, write, isFound, stop } = await startCache(t, 20_000);
  const pagesAtStart = pages.callCount();
  state.service.refuseClient(CONTROLLER_HOST);
  await state.run(6);
  for (let number = 0; number < 60; number++) write(`${number}`);
  state.service.readmitClient(CONTROLLER_HOST);
  assert.ok(await state.runUntil(() => found.size === 61 && cache.isLoaded, 10), `${found.size}`);
  assert.ok(pages.callCount() > pagesAtStart);
  assert.equal(client.isFailing, false);
  write('last');
  assert.ok(await state.runUntil(() => isFound('last'), 5));
  await stop();
});

test('a cache catches up although more changes come during each load than an answer may hold', async (t) => {
  // Guards against loads without end: each is followed by an answer with all changes since it began.
  const pageDelayMs = 400;
  const { state, cache, pages, write, stop } = await startCache(t, 100_000, pageDelayMs);
  let written = 0;
  const writeOften = () => {
    for (let count = 0; count < 5; count++) write(`${written++ % 50}`);
    if (written < MAX_WRITTEN) state.world.schedule(0.01, writeOften);
  };
  writeOften();
  state.service.refuseClient(CONTROLLER_HOST);
  await state.run(1);
  state.service.readmitClient(CONTROLLER_HOST);
  const loadsBefore = pages.callCount();
  const waitS = 5;
  await state.run(waitS);
  const target = written;
  assert.ok(await state.runUntil(() => cache.revision >= target, 2), `${target}`);
  const pagesRead = pages.callCount() - loadsBefore;
  // Loading all the time would read a page in each delay.
  assert.ok(pagesRead > 0 && pagesRead < (waitS * 1000) / pageDelayMs / 2, `${pagesRead} pages`);
  assert.ok(written < MAX_WRITTEN);
  await stop();
});
