import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { PROPERTY_TEST_OPTIONS, StateServiceFixture } from '#testing';
import { Budget } from './budget.js';

const LIMITS = { rps: 100, writeRps: 100, valueBytes: 1024, txnOps: 24 };

async function createBudget(perSecond: number) {
  const world = await StateServiceFixture.start(LIMITS);
  return { world, budget: new Budget(world.controller().clock, perSecond) };
}

test('for any rate and number of units, all requests are granted in the time that the rate needs', async () => {
  // Guards against a reserve for urgent consumers so large that others were never granted their units.
  const rates = fc.double({ min: 0.2, max: 500, noNaN: true });
  const requests = fc.array(
    fc.record({ units: fc.integer({ min: 1, max: 100 }), urgent: fc.boolean() }),
    {
      minLength: 1,
      maxLength: 4,
    },
  );
  await fc.assert(
    fc.asyncProperty(rates, requests, async (rate, wanted) => {
      const { world, budget } = await createBudget(rate);
      let granted = 0;
      for (const { units, urgent } of wanted)
        void budget.acquireFor(urgent ? 'urgent' : 'background', units).then(() => granted++);
      const units = wanted.reduce((sum, request) => sum + request.units, 0);
      await world.run(units / rate + 1.25);
      assert.equal(granted, wanted.length);
    }),
    PROPERTY_TEST_OPTIONS,
  );
});

test('consumers that ask without end take turns, and an urgent consumer goes first', async () => {
  const { world, budget } = await createBudget(10);
  const order: string[] = [];
  const takeFor = async (name: string, units: number) => {
    for (;;) {
      await budget.acquireFor('background', units);
      order.push(name);
    }
  };
  void takeFor('a', 8);
  void takeFor('b', 3);
  await world.run(11);
  // The consumers take turns: 11 units a round, at 10 units per second.
  assert.equal(order.join(''), 'ab'.repeat(10) + 'a');
  void budget.acquireFor('urgent', 1).then(() => order.push('urgent'));
  const served = order.length;
  await world.run(0.5);
  assert.equal(order[served], 'urgent');
});

test('a consumer whose signal aborts is removed from the queue', async () => {
  const { world, budget } = await createBudget(10);
  const stop = new AbortController();
  let granted = 0;
  await budget.acquireFor('background', 10);
  const rejected = assert.rejects(budget.acquireFor('background', 10, stop.signal));
  void budget.acquireFor('background', 1).then(() => granted++);
  await world.run(0.5);
  assert.equal(granted, 0);
  stop.abort();
  await rejected;
  await world.run(0.001);
  assert.equal(granted, 1);
  await assert.rejects(budget.acquireFor('background', 1, stop.signal));
});

test('users get all units without background work, and their weighted share beside it', async () => {
  const { world, budget } = await createBudget(20);
  const granted = { background: 0, users: 0 };
  const takeFor = async (consumer: 'background' | 'users', units: number) => {
    for (;;) {
      await budget.acquireFor(consumer, units);
      granted[consumer] += units;
    }
  };
  void takeFor('users', 1);
  await world.run(10);
  // Without background work users get the whole rate.
  assert.ok(granted.users >= 200, `${granted.users}`);
  assert.equal(budget.userUnitsPerS(), 20);
  granted.users = 0;
  for (let n = 0; n < 5; n++) void takeFor('background', 10);
  await world.run(20);
  assert.ok(granted.users >= 90 && granted.users <= 120, `${granted.users}`);
  assert.ok(granted.background >= 280, `${granted.background}`);
  assert.ok(budget.userUnitsPerS() < 7);
});
