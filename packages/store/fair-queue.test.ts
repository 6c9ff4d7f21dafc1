import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { PROPERTY_TEST_OPTIONS } from '#testing';
import { FairQueue } from './fair-queue.js';

test('non-empty lanes are served in proportion to their weights, and each lane in FIFO order', () => {
  const sizes = fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1, maxLength: 5 });
  const weights = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 5, maxLength: 5 });
  fc.assert(
    fc.property(sizes, weights, (lengths, weight) => {
      const queue = new FairQueue<[number, number]>((lane) => weight[Number(lane)]);
      lengths.forEach((length, lane) => {
        for (let i = 0; i < length; i++) queue.push(String(lane), [lane, i]);
      });
      const served = lengths.map(() => 0);
      while (queue.length > 0) {
        const [lane, i] = queue.shift()!;
        assert.equal(i, served[lane]++);
        // A non-empty lane is at most one item, divided by its weight, behind any other.
        for (const [other, length] of lengths.entries()) {
          if (served[other] === length || served[lane] === lengths[lane]) continue;
          const ahead = (served[lane] - 1) / weight[lane];
          assert.ok(ahead <= served[other] / weight[other] + 1e-9);
        }
      }
      assert.deepEqual(served, lengths);
    }),
    PROPERTY_TEST_OPTIONS,
  );
});

test('an item in an empty lane is served within two turns, whatever other lanes have queued', () => {
  const queue = new FairQueue<string>();
  for (let i = 0; i < 100; i++) queue.push('flood', 'flood');
  for (let i = 0; i < 50; i++) queue.shift();
  queue.push('host', 'host');
  assert.equal(queue.shareOf('host'), 1 / 2);
  const next = [queue.shift(), queue.shift()];
  assert.ok(next.includes('host'));
});
