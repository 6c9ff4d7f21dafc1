import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { SEEDED } from '../../testing/generators.js';
import { TaskSet } from './task-set.js';

test('a task set that is encoded in chunks is decoded to the same set', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 500 }), fc.array(fc.nat(499)), (tasks, done) => {
      const set = new TaskSet(tasks);
      for (const i of done) set.add(i);
      const copy = new TaskSet(tasks);
      for (let c = 0; c * 64 < tasks; c++) copy.addBase64(c * 64, set.toBase64(c * 64, 64));
      assert.equal(copy.size, set.size);
      for (let i = 0; i < tasks; i++) assert.equal(copy.has(i), set.has(i));
    }),
    SEEDED,
  );
});
