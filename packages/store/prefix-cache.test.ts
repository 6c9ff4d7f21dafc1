import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StateApi } from '#wire';
import { formatAddress, STATE_ADDRESS, StateServiceFixture } from '#testing';
import { PrefixCache } from './prefix-cache.js';
import { StateClient } from './state-client.js';

const LIMITS = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };
const PREFIX = 'jobs/';
const MAX_CHANGES_BYTES = 20_000;
const VALUE = 'x'.repeat(1000);
const KEYS = 60;
const CONTROLLER_HOST = '10.0.0.1';

test('a cache that has missed more changes than an answer may hold reads the keys again, page by page', async (t) => {
  // Guards against an answer with all records that were written while a controller did not reach the state service:
  // nothing limits its size, and decoded it takes several times as much memory.
  const state = await StateServiceFixture.start(LIMITS);
  const runtime = state.controller(CONTROLLER_HOST);
  const api = new StateApi(runtime, formatAddress(STATE_ADDRESS), 1000, MAX_CHANGES_BYTES);
  const pages = t.mock.method(api, 'list').mock;
  const client = new StateClient(runtime.clock, api, LIMITS, 1);
  const cache = new PrefixCache({
    client,
    runtime,
    prefix: PREFIX,
    watchMs: 5000,
    syncSpacingMs: 0,
  });
  const found = new Map<string, number>();
  cache.changes.subscribe(({ key, version }) => found.set(key, version));
  const end = new AbortController();
  const running = cache.run(end.signal);
  const { store } = state.service;
  store.apply([{ put: `${PREFIX}first`, value: VALUE }]);
  assert.ok(await state.runUntil(() => found.has(`${PREFIX}first`), 5));

  const pagesAtStart = pages.callCount();
  state.service.refuseClient(CONTROLLER_HOST);
  await state.run(6);
  for (let number = 0; number < KEYS; number++) {
    store.apply([{ put: `${PREFIX}${number}`, value: VALUE }]);
  }
  state.service.readmitClient(CONTROLLER_HOST);
  assert.ok(await state.runUntil(() => found.size === 1 + KEYS, 10), `${found.size} keys`);
  assert.ok(await state.runUntil(() => cache.isLoaded, 5));
  assert.ok(pages.callCount() > pagesAtStart);
  assert.equal(client.isFailing, false);
  store.apply([{ put: `${PREFIX}last`, value: VALUE }]);
  assert.ok(await state.runUntil(() => found.has(`${PREFIX}last`), 5));
  end.abort();
  await state.run(1);
  await running;
});
