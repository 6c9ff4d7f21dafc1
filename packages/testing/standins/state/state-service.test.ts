import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { CborClient, nodeRuntime, NoAnswer, StateApi, StateRefused } from '#wire';
import { KEPT_CHANGES, KeyStore } from './key-store.js';
import { StateService } from './state-service.js';
import type { StateServiceLimits } from './txn-limits.js';

const LOOPBACK = '127.0.0.1';
const LIMITS: StateServiceLimits = { rps: 5000, writeRps: 5000, valueKb: 1, txnOps: 4 };
const closers: (() => void)[] = [];
after(() => closers.forEach((close) => close()));

async function aService(limits: Partial<StateServiceLimits> = {}) {
  const service = new StateService(nodeRuntime, { ...LIMITS, ...limits });
  const { address } = await service.listen({ host: LOOPBACK, port: 0 });
  const target = `${LOOPBACK}:${address.port}`;
  const api = new StateApi(nodeRuntime, target, 2000);
  const http = new CborClient(nodeRuntime, target);
  closers.push(() => [service, api, http].forEach((part) => part.close()));
  return { service, api, http };
}

function put(key: string, value: unknown = 1, lease?: number) {
  return { put: key, value, lease };
}

test('transactions are atomic and share one revision', async () => {
  const { api } = await aService();
  assert.deepEqual(await api.txn([], [put('a/1', 'x'), put('a/2')]), { ok: true, revision: 1 });
  const stale = await api.txn([{ key: 'a/1', version: 0 }], [{ delete: 'a/2' }]);
  assert.deepEqual(stale, { ok: false, failed: ['a/1'], revision: 1 });
  assert.deepEqual(await api.get('a/1'), { key: 'a/1', value: 'x', version: 1 });
  assert.deepEqual(await api.txn([{ key: 'a/2', version: 1 }], [{ delete: 'a/2' }]), {
    ok: true,
    revision: 2,
  });
  assert.equal(await api.get('a/2'), null);
  assert.deepEqual(await api.txn([{ key: 'a/2', version: 0 }], []), { ok: true, revision: 2 });
});

test('lists come in key order, page by page, within their size', async () => {
  const { http, service } = await aService({ valueKb: 64 });
  for (const key of ['b/2', 'a/9', 'b/1', 'b/3', 'c/1']) service.store.apply([put(key)]);
  const list = async (query: string) => {
    const answer = await http.call('GET', `/store?${query}`, { timeoutMs: 1000 });
    const page = answer.body as { entries: { k: string }[]; more: boolean };
    return [page.entries.map((e) => e.k).join(' '), page.more];
  };
  assert.deepEqual(await list('prefix=b/&most=2'), ['b/1 b/2', true]);
  assert.deepEqual(await list('prefix=b/&after=b/2&most=2'), ['b/3', false]);
  for (let i = 0; i < 10; i++) service.store.apply([put(`d/${i}`, 'x'.repeat(60_000))]);
  assert.equal((await list('prefix=d/'))[1], true);
});

test('what is malformed or over a limit gets 400 and changes nothing', async () => {
  const { http, service } = await aService();
  const bodies = [
    null,
    { if: 1 },
    { apply: [{ set: 'a' }] },
    { apply: [{ set: 'a', value: 1, remove: 'a' }] },
    { apply: [{ set: 'a b', value: 1 }] },
    { apply: [{ set: 'a'.repeat(201), value: 1 }] },
    { apply: [{ set: 'a', value: 'x'.repeat(1025) }] },
    { apply: Array.from({ length: 5 }, (_, i) => ({ set: `k${i}`, value: 1 })) },
    { if: Array.from({ length: 17 }, (_, i) => ({ k: `k${i}`, stamp: 0 })) },
    { if: [{ k: 'a', stamp: -1 }] },
    { apply: [{ set: 'a', value: 1, permit: 99 }] },
  ];
  for (const body of bodies) {
    const answer = await http.call('POST', '/multi', { timeoutMs: 1000, body });
    assert.equal(answer.status, 400, JSON.stringify(body));
  }
  for (const target of ['/changes?prefix=a', '/changes?after=0&blockMs=60001', '/store?most=0']) {
    assert.equal((await http.call('GET', target, { timeoutMs: 1000 })).status, 400, target);
  }
  assert.equal(service.store.revision, 0);
});

test('a lease ends late at the most, with its keys, and an outage gives it its full time', async () => {
  const { api, service } = await aService();
  const lease = await api.grant(200);
  await api.txn([], [put('l/1', 1, lease), put('l/2', 1, lease)]);
  await api.txn([], [put('l/2')]);
  await sleep(120);
  assert.equal(await api.touch(lease), true);
  await sleep(150);
  service.beginOutage();
  await assert.rejects(api.touch(lease), StateRefused);
  await sleep(300);
  service.endOutage();
  await sleep(150);
  assert.ok(service.store.get('l/1'));
  await sleep(200);
  assert.equal(await api.touch(lease), false);
  assert.equal(service.store.get('l/1'), undefined);
  assert.ok(service.store.get('l/2'));
  assert.deepEqual(await api.txn([], [put('l/3', 1, lease)]), { ok: false, leaseGone: true });
});

test('a watch waits for its prefix, also through an outage', async () => {
  const { api, service } = await aService();
  const outcome = api.changes('w/', 0, 5000);
  await sleep(200);
  service.beginOutage();
  service.store.apply([put('w/1')]);
  assert.equal(await Promise.race([outcome, sleep(100, 'open')]), 'open');
  service.endOutage();
  const event = { key: 'w/1', value: 1, version: 1 };
  assert.deepEqual(await outcome, { revision: 1, events: [event] });
  const startedAt = performance.now();
  service.store.apply([put('other')]);
  assert.deepEqual(await api.changes('w/', 1, 100), { revision: 2, events: [] });
  assert.ok(performance.now() - startedAt > 95);
});

test('a watch looks back upon 10,000 changes and no more', () => {
  const store = new KeyStore();
  for (let i = 1; i <= KEPT_CHANGES + 5001; i++) {
    store.apply([put('k', i)]);
    if (i <= KEPT_CHANGES) continue;
    assert.equal(store.changesAfter('', i - KEPT_CHANGES - 1), 'too-old');
    const kept = store.changesAfter('', i - KEPT_CHANGES);
    assert.ok(kept !== 'too-old' && kept.events.length === KEPT_CHANGES);
  }
});

test('more than a second of requests or changes gets 429, failed conditions too', async () => {
  const { api } = await aService({ writeRps: 10 });
  const failing = [{ key: 'none', version: 5 }];
  for (let i = 0; i < 5; i++) await api.txn(failing, [put('a'), put('b')]);
  await assert.rejects(api.txn([], [put('a'), put('b')]), { status: 429 });
  const few = await aService({ rps: 5 });
  for (let i = 0; i < 5; i++) await few.api.get('a');
  await assert.rejects(few.api.get('a'), { status: 429 });
});

test('one client can be refused while its watch waits', async () => {
  const { api, service } = await aService();
  const watch = api.changes('r/', 0, 5000);
  await sleep(200);
  service.refuse(LOOPBACK);
  await assert.rejects(api.get('a'), { status: 503 });
  service.store.apply([put('r/1')]);
  const settled = await Promise.race([watch.then(() => true), sleep(50, false)]);
  assert.equal(settled, false);
  service.readmit(LOOPBACK);
  assert.notEqual(await watch, 'too-old');
});

test('a late transaction is carried out after newer ones and is never answered', async () => {
  const { service, api } = await aService();
  service.beginLateWrites(1, [0.2, 0.2]);
  const late = api.txn([], [put('t', 'late')]);
  const unanswered = assert.rejects(late, NoAnswer);
  await sleep(50);
  service.endLateWrites();
  await api.txn([], [put('t', 'newer')]);
  await sleep(250);
  assert.equal(service.store.get('t')?.value, 'late');
  service.beginLostAnswers(1);
  const lost = assert.rejects(api.txn([], [put('t', 'at once')]), NoAnswer);
  await sleep(50);
  assert.equal(service.store.get('t')?.value, 'at once');
  await Promise.all([unanswered, lost]);
});
