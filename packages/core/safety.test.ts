import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type SeededLeaderFault, type LeaderViolation, runLeaderWithWorkersModel } from '#testing';

const SEEDS = 60;

function findViolations(
  mistake: SeededLeaderFault,
  seeds: number,
  firstSeed = 1,
): Set<LeaderViolation> {
  const violations = new Set<LeaderViolation>();
  for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
    for (const rule of runLeaderWithWorkersModel(seed, mistake)) violations.add(rule);
  }
  return violations;
}

test('no safety rule is violated while leaders, workers and messages fail', () => {
  assert.deepEqual([...findViolations('none', SEEDS)], []);
});

test('no safety rule is violated while commands that were answered arrive once more', () => {
  assert.deepEqual([...findViolations('none', 2 * SEEDS, SEEDS + 1)], []);
});

// Shows for each deliberate mistake that a check can fail: the check of the violated rule must detect the mistake.
const expectedViolations: [SeededLeaderFault, LeaderViolation][] = [
  ['short-lease', 'ran_twice'],
  ['skips-former-leader-wait', 'ran_twice'],
  ['accepts-repeated-heartbeats', 'ran_twice'],
  ['forgets-unacknowledged-starts', 'unrecorded'],
  ['trusts-answered-starts', 'unrecorded'],
  ['trusts-answered-starts', 'ran_twice'],
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
