import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type LeaderMistake, type LeaderViolation, playLeaders } from '#testing';

const SEEDS = 60;

function findViolations(mistake: LeaderMistake, seeds: number): Set<LeaderViolation> {
  const violations = new Set<LeaderViolation>();
  for (let seed = 1; seed <= seeds; seed++) {
    for (const rule of playLeaders(seed, mistake)) violations.add(rule);
  }
  return violations;
}

test('no safety rule is violated while leaders, workers and messages fail', () => {
  assert.deepEqual([...findViolations('none', SEEDS)], []);
});

// Shows for each deliberate mistake that a check can fail: the check of the violated rule must detect the mistake.
const expectedViolations: [LeaderMistake, LeaderViolation][] = [
  ['short-lease', 'ran_twice'],
  ['trusts-former-owner', 'ran_twice'],
  ['believes-old-copies', 'ran_twice'],
  ['forgets-late-starts', 'unrecorded'],
  ['wakes-entitled', 'ran_cancelled'],
  ['order-before-record', 'unrecorded'],
  ['no-limit', 'quota'],
  ['any-zone', 'wrong_place'],
  ['deaf-to-aborts', 'ran_cancelled'],
  ['done-early', 'not_done'],
];
for (const [mistake, rule] of expectedViolations) {
  test(`the check of ${rule} detects the mistake ${mistake}`, () => {
    assert.ok(findViolations(mistake, SEEDS).has(rule));
  });
}
