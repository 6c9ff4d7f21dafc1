import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { PROPERTY_TEST_OPTIONS } from '../../testing/generators.js';
import {
  countJobFailure,
  isCrashLooping,
  noJobFailures,
  clearsJobFailures,
  retryBackoffS,
} from './job-failures.js';

const MAX_BACKOFF_S = 64;

test('the backoff grows with each failed attempt, is bounded, and has random jitter', () => {
  // Guards against a job that always fails and is retried every second until its user cancels it.
  const failureSequences = fc.array(fc.record({ delay: fc.nat(100), machine: fc.nat(9) }), {
    minLength: 1,
  });
  fc.assert(
    fc.property(
      failureSequences,
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (failed, randomValue) => {
        const failures = noJobFailures();
        let now = 0;
        let previousMaxS = 0;
        for (const { delay, machine } of failed) {
          now += delay + 1;
          countJobFailure(failures, { machine: `n-${machine}`, assignedAt: now, ranS: 1 }, now);
          const minBackoffS = retryBackoffS(failures, 1, () => 0.999);
          const maxBackoffS = retryBackoffS(failures, 1, () => 0);
          const backoffS = retryBackoffS(failures, 1, () => randomValue);
          assert.ok(
            minBackoffS <= backoffS && backoffS <= maxBackoffS && maxBackoffS <= MAX_BACKOFF_S,
          );
          assert.ok(maxBackoffS >= previousMaxS);
          if (failures.attempts > 1 || isCrashLooping(failures))
            assert.ok(minBackoffS > 0 && minBackoffS < maxBackoffS);
          previousMaxS = maxBackoffS;
        }
        if (failed.length > 6) assert.equal(previousMaxS, MAX_BACKOFF_S);
      },
    ),
    PROPERTY_TEST_OPTIONS,
  );
});

test('overlapping attempts count as one, and failures on a single machine do not make a job crash-looping', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(20), { minLength: 1 }), fc.nat(3), (delays, maxMachine) => {
      const failures = noJobFailures();
      for (const delay of delays) {
        const failed = { machine: `n-${delay % (maxMachine + 1)}`, assignedAt: 0, ranS: 1 };
        countJobFailure(failures, failed, 1 + delay);
      }
      assert.equal(failures.attempts, 1);
      const failedMachines = new Set(delays.map((delay) => delay % (maxMachine + 1)));
      assert.equal(isCrashLooping(failures), failedMachines.size > 1);
    }),
    PROPERTY_TEST_OPTIONS,
  );
});

test('only a task that runs for longer than the failed ones clears its job of failures', () => {
  const failures = noJobFailures();
  countJobFailure(failures, { machine: 'n-1', assignedAt: 0, ranS: 20 }, 20);
  assert.deepEqual(
    [0, 20, 45, 51].map((ranS) => clearsJobFailures(failures, ranS, 10)),
    [false, false, false, true],
  );
});
