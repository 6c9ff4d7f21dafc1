import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nodeRuntime, NoAnswer, StateApi, StateRefused, type Change } from '#wire';
import { FREE_LOOPBACK_PORT } from '../http-server.js';
import { SampleWorld } from '../sample-world.js';
import { RETAINED_CHANGES, KeyStore } from './key-store.js';
import { StateService } from './state-service.js';
import type { StateServiceLimits } from './txn-limits.js';

const SERVICE = { host: '10.2.0.1', port: 2379 };
const CLIENT = '10.0.0.1';
const TARGET = `${SERVICE.host}:${SERVICE.port}`;
const LIMITS: StateServiceLimits = { rps: 500, writeRps: 500, valueKb: 1, txnOps: 4 };

async function startService(limits: Partial<StateServiceLimits> = {}) {
  const world = new SampleWorld();
  const runtime = world.createRuntime(SERVICE.host, 'state');
  const service = new StateService(runtime, { ...LIMITS, ...limits }, world.observer);
  await world.runUntilComplete(service.listen(SERVICE));
  const api = new StateApi(world.createRuntime(CLIENT), TARGET, 2000);
  const call = world.createClient('10.0.0.2', TARGET);
  const commit = (changes: Change[]) => world.runUntilComplete(api.txn([], changes));
  const transactions = () => world.events.filter((event) => event.kind === 'transaction');
  return { world, service, api, call, commit, transactions };
}

function put(key: string, value: unknown = 1, lease?: number) {
  return { put: key, value, lease };
}

test('the changes of a transaction are applied together under one revision, or not at all', async () => {
  const { world, api, commit } = await startService();
  assert.deepEqual(await commit([put('a/1', 'x'), put('a/2')]), { ok: true, revision: 1 });
  const stale = api.txn([{ key: 'a/1', version: 0 }], [{ delete: 'a/2' }]);
  assert.deepEqual(await world.runUntilComplete(stale), {
    ok: false,
    failed: ['a/1'],
    revision: 1,
  });
  const entry = { key: 'a/1', value: 'x', version: 1 };
  assert.deepEqual(await world.runUntilComplete(api.get('a/1')), entry);
  const removal = api.txn([{ key: 'a/2', version: 1 }], [{ delete: 'a/2' }]);
  assert.deepEqual(await world.runUntilComplete(removal), { ok: true, revision: 2 });
  assert.equal(await world.runUntilComplete(api.get('a/2')), null);
  const compare = api.txn([{ key: 'a/2', version: 0 }], []);
  assert.deepEqual(await world.runUntilComplete(compare), { ok: true, revision: 2 });
});

test('lists are sorted by key and split into pages by number and by size', async () => {
  const { call, service } = await startService();
  for (const key of ['b/2', 'a/9', 'b/1', 'b/3', 'c/1']) service.store.apply([put(key)]);
  const list = async (query: string) => {
    const answer = await call('GET', `/store?${query}`);
    const page = answer.body as { entries: { k: string }[]; more: boolean };
    return [page.entries.map((entry) => entry.k).join(' '), page.more];
  };
  assert.deepEqual(await list('prefix=b/&most=2'), ['b/1 b/2', true]);
  assert.deepEqual(await list('prefix=b/&after=b/2&most=2'), ['b/3', false]);
  for (let i = 0; i < 10; i++) service.store.apply([put(`d/${i}`, 'x'.repeat(60_000))]);
  assert.equal((await list('prefix=d/'))[1], true);
});

test('a request that is malformed or exceeds a limit gets 400 and changes nothing', async () => {
  const { call, service } = await startService();
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
    assert.equal((await call('POST', '/multi', body)).status, 400, JSON.stringify(body));
  }
  for (const target of ['/changes?prefix=a', '/changes?after=0&blockMs=60001', '/store?most=0']) {
    assert.equal((await call('GET', target)).status, 400, target);
  }
  assert.equal((await call('POST', '/grants', { ttlMs: 99 })).status, 400);
  assert.equal(service.store.revision, 0);
});

test('a lease ends up to 100 ms late and deletes its keys, and has its full time after an outage', async () => {
  const { world, api, service, commit } = await startService();
  const lease = await world.runUntilComplete(api.grantLease(2000));
  await commit([put('l/1', 1, lease), put('l/2', 1, lease)]);
  await commit([put('l/2')]);
  await world.run(1.5);
  assert.equal(await world.runUntilComplete(api.renewLease(lease)), true);
  await world.run(1.5);
  service.beginOutage();
  await assert.rejects(world.runUntilComplete(api.renewLease(lease)), StateRefused);
  await world.run(3);
  service.endOutage();
  await world.run(1.99);
  assert.ok(service.store.get('l/1'));
  await world.run(0.12);
  assert.equal(service.store.get('l/1'), undefined);
  assert.ok(service.store.get('l/2'));
  assert.equal(await world.runUntilComplete(api.renewLease(lease)), false);
  assert.deepEqual(await commit([put('l/3', 1, lease)]), { ok: false, leaseGone: true });
});

test('a watch answers when a key with its prefix changes, after an outage if one is in progress', async () => {
  const { world, api, service, commit } = await startService();
  const outcome = api.changes('w/', 0, 5000);
  await world.run(0.1);
  service.beginOutage();
  service.store.apply([put('w/1')]);
  await world.run(1);
  service.endOutage();
  const event = { key: 'w/1', value: 1, version: 1 };
  assert.deepEqual(await world.runUntilComplete(outcome), { revision: 1, events: [event] });
  await commit([put('other')]);
  const startedAt = world.world.now;
  const nothing = await world.runUntilComplete(api.changes('w/', 1, 500));
  assert.deepEqual(nothing, { revision: 2, events: [] });
  assert.ok(world.world.now - startedAt >= 0.5);
});

test('a watch can read the last 10,000 changes, and gets "too old" for older ones', () => {
  const store = new KeyStore();
  for (let i = 1; i <= RETAINED_CHANGES * 1.6; i++) {
    store.apply([put('k', i)]);
    if (i <= RETAINED_CHANGES || i % 100 !== 0) continue;
    assert.equal(store.changesAfter('', i - RETAINED_CHANGES - 1), 'too-old');
    const kept = store.changesAfter('', i - RETAINED_CHANGES);
    assert.ok(kept !== 'too-old' && kept.events.length === RETAINED_CHANGES);
  }
});

test('requests or changes beyond one second of the limit get 429, also if conditions fail', async () => {
  const { world, api } = await startService({ rps: 20, writeRps: 10 });
  const failing = [{ key: 'none', version: 5 }];
  const statuses = async (calls: Promise<unknown>[]) => {
    const outcomes = await world.runUntilComplete(Promise.allSettled(calls));
    return outcomes.map((o) => (o.status === 'rejected' ? (o.reason as StateRefused).status : 0));
  };
  const changes = [put('a'), put('b')];
  const txns = Array.from({ length: 6 }, () => api.txn(failing, changes));
  assert.deepEqual(await statuses(txns), [0, 0, 0, 0, 0, 429]);
  await world.run(5);
  const reads = await statuses(Array.from({ length: 22 }, () => api.get('a')));
  assert.equal(reads.filter((status) => status === 429).length, 2);
});

test('the watch of a refused client waits and its lease expires, while others are served', async () => {
  const { world, api, call, service } = await startService();
  const watch = api.changes('r/', 0, 60_000);
  const lease = await world.runUntilComplete(api.grantLease(1000));
  service.refuseClient(CLIENT);
  await assert.rejects(world.runUntilComplete(api.get('a')), { status: 503 });
  const other = await call('POST', '/multi', { apply: [{ set: 'r/1', value: 1 }] });
  assert.equal(other.status, 200);
  await assert.rejects(world.runUntilComplete(watch, 5), /not settled/);
  service.readmitClient(CLIENT);
  assert.notEqual(await world.runUntilComplete(watch), 'too-old');
  assert.equal(await world.runUntilComplete(api.renewLease(lease)), false);
});

test('a transaction without an answer is applied late, after newer ones, or at once', async () => {
  const { world, service, api, commit, transactions } = await startService();
  service.beginLateTransactions(1);
  const late = api.txn([], [put('t', 'late')]);
  await world.run(0.1);
  service.endReplyLoss();
  await commit([put('t', 'newer')]);
  await assert.rejects(world.runUntilComplete(late), NoAnswer);
  assert.equal(service.store.get('t')?.value, 'newer');
  await world.run(10.5);
  assert.equal(service.store.get('t')?.value, 'late');
  service.beginLostReplies(1);
  const lost = api.txn([], [put('t', 'at once')]);
  await world.run(0.1);
  assert.equal(service.store.get('t')?.value, 'at once');
  await assert.rejects(world.runUntilComplete(lost), NoAnswer);
  const seen = transactions().map(({ changes, answered, pendingS }) => {
    const [change] = changes as { value: unknown }[];
    return { value: change.value, answered, late: pendingS > 1 };
  });
  assert.deepEqual(seen, [
    { value: 'newer', answered: true, late: false },
    { value: 'late', answered: false, late: true },
    { value: 'at once', answered: false, late: false },
  ]);
});

test('response times stay within the latency profile', async () => {
  const { world, service, commit } = await startService();
  service.setLatency({ usualMs: [800, 900], slowShare: 0, slowMs: [0, 0] });
  await commit([put('s')]);
  assert.ok(world.world.now > 0.8 && world.world.now < 1.1);
});

test('the service also runs on the loopback interface', async () => {
  const service = new StateService(nodeRuntime, LIMITS);
  const { target } = await service.listen(FREE_LOOPBACK_PORT);
  const api = new StateApi(nodeRuntime, target, 2000);
  assert.deepEqual(await api.txn([], [put('a')]), { ok: true, revision: 1 });
  api.close();
  service.close();
});
