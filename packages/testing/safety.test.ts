import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fault, simulate } from './simulation.js';

const SEEDS = 60;

function brokenBy(fault: Fault, seeds: number): Set<string> {
  const all = new Set<string>();
  for (let seed = 1; seed <= seeds; seed++) {
    for (const rule of simulate(seed, fault)) all.add(rule);
  }
  return all;
}

test('no rule is broken while owners, workers and messages fail', () => {
  assert.deepEqual([...brokenBy('none', SEEDS)], []);
});

// Each check is shown to be able to fail by one deliberate mistake.
const trips: [Fault, string][] = [
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
for (const [fault, rule] of trips) {
  test(`the check of ${rule} notices ${fault}`, () => {
    assert.ok(brokenBy(fault, SEEDS).has(rule));
  });
}
