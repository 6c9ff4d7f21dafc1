import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type SeededLeaderFault, type LeaderViolation, runLeaderWithWorkersModel } from '#testing';

const SEEDS = 60;

/** A failure is printed, but does not fail the run, while the test is listed there. */
const KNOWN_RED = { todo: 'KNOWN-RED.txt, entry 10' };

function findViolations(
  mistake: SeededLeaderFault,
  seeds: number,
  repeatsCommands = false,
): Set<LeaderViolation> {
  const violations = new Set<LeaderViolation>();
  for (let seed = 1; seed <= seeds; seed++) {
    for (const rule of runLeaderWithWorkersModel(seed, mistake, repeatsCommands))
      violations.add(rule);
  }
  return violations;
}

test('no safety rule is violated while leaders, workers and messages fail', () => {
  assert.deepEqual([...findViolations('none', SEEDS)], []);
});

test(
  'no safety rule is violated while commands that were answered arrive once more',
  KNOWN_RED,
  () => {
    assert.deepEqual([...findViolations('none', SEEDS, true)], []);
  },
);

// Shows for each deliberate mistake that a check can fail: the check of the violated rule must detect the mistake.
const expectedViolations: [SeededLeaderFault, LeaderViolation][] = [
  ['short-lease', 'ran_twice'],
  ['skips-former-leader-wait', 'ran_twice'],
  ['accepts-repeated-heartbeats', 'ran_twice'],
  ['forgets-unacknowledged-starts', 'unrecorded'],
  ['keeps-lease-after-freeze', 'ran_cancelled'],
  ['starts-before-record', 'unrecorded'],
  ['ignores-quota', 'quota'],
  ['ignores-zones', 'wrong_place'],
  ['ignores-cancellations', 'ran_cancelled'],
  ['completes-early', 'not_done'],
];
for (const [mistake, rule] of expectedViolations) {
  test(`the check of ${rule} detects the mistake ${mistake}`, () => {
    assert.ok(findViolations(mistake, SEEDS).has(rule));
  });
}
