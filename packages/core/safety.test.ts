import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type LeaderMistake, type LeaderViolation, playLeaders } from '#testing';

const SEEDS = 60;

function brokenBy(mistake: LeaderMistake, seeds: number): Set<LeaderViolation> {
  const all = new Set<LeaderViolation>();
  for (let seed = 1; seed <= seeds; seed++) {
    for (const rule of playLeaders(seed, mistake)) all.add(rule);
  }
  return all;
}

test('no rule is broken while leaders, workers and messages fail', () => {
  assert.deepEqual([...brokenBy('none', SEEDS)], []);
});

// Each check is shown to be able to fail by one deliberate mistake.
const trips: [LeaderMistake, LeaderViolation][] = [
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
for (const [mistake, rule] of trips) {
  test(`the check of ${rule} notices ${mistake}`, () => {
    assert.ok(brokenBy(mistake, SEEDS).has(rule));
  });
}
