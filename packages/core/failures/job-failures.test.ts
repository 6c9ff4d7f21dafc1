import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { SEEDED } from '../../testing/generators.js';
import {
  countJobFailure,
  isCrashLooping,
  noJobFailures,
  provesJob,
  retryWaitS,
} from './job-failures.js';

const MAX_WAIT_S = 64;

test('the backoff grows with each attempt that fails, is bounded, and differs by chance', () => {
  // Guards against a faulty job that is retried every second for as long as its user leaves it.
  const moments = fc.array(fc.record({ after: fc.nat(100), machine: fc.nat(9) }), { minLength: 1 });
  fc.assert(
    fc.property(moments, fc.double({ min: 0, max: 0.999, noNaN: true }), (failed, chance) => {
      const failures = noJobFailures();
      let now = 0;
      let longest = 0;
      for (const { after, machine } of failed) {
        now += after + 1;
        countJobFailure(failures, { machine: `n-${machine}`, assignedAt: now, ranS: 1 }, now);
        const least = retryWaitS(failures, 1, () => 0.999);
        const most = retryWaitS(failures, 1, () => 0);
        const wait = retryWaitS(failures, 1, () => chance);
        assert.ok(least <= wait && wait <= most && most <= MAX_WAIT_S);
        assert.ok(most >= longest);
        if (failures.attempts > 1 || isCrashLooping(failures)) assert.ok(least > 0 && least < most);
        longest = most;
      }
      if (failed.length > 6) assert.equal(longest, MAX_WAIT_S);
    }),
    SEEDED,
  );
});

test('attempts that overlap count as one, and one machine alone makes no job crash-looping', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(20), { minLength: 1 }), fc.nat(3), (delays, machines) => {
      const failures = noJobFailures();
      for (const delay of delays) {
        const failed = { machine: `n-${delay % (machines + 1)}`, assignedAt: 0, ranS: 1 };
        countJobFailure(failures, failed, 1 + delay);
      }
      assert.equal(failures.attempts, 1);
      const hit = new Set(delays.map((delay) => delay % (machines + 1)));
      assert.equal(isCrashLooping(failures), hit.size > 1);
    }),
    SEEDED,
  );
});

test('only a task that runs longer than those that failed clears its job', () => {
  const failures = noJobFailures();
  countJobFailure(failures, { machine: 'n-1', assignedAt: 0, ranS: 20 }, 20);
  assert.deepEqual(
    [0, 20, 45, 51].map((ranS) => provesJob(failures, ranS, 10)),
    [false, false, false, true],
  );
});
