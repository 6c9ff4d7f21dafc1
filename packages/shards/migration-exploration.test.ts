import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isDeepStrictEqual } from 'node:util';
import { exploreMigrations, type MigrationBudget, type SeededMigrationFault } from '#testing';

const LOST_ANSWER: MigrationBudget = { requests: 1, crashes: 0, lapses: 0, lostAnswers: 1 };
const CRASH: MigrationBudget = { requests: 1, crashes: 1, lapses: 0, lostAnswers: 0 };
const LAPSE: MigrationBudget = { requests: 1, crashes: 0, lapses: 1, lostAnswers: 0 };
const TWO_REQUESTS: MigrationBudget = { requests: 2, crashes: 0, lapses: 0, lostAnswers: 0 };

/** Counts of states, as listed in docs/shards.md. A model that distinguishes equivalent states has more. */
const EXPECTED_COUNTS = [
  { budget: LOST_ANSWER, states: 5481, moved: 869 },
  { budget: CRASH, states: 9943, moved: 1799 },
  { budget: LAPSE, states: 8625, moved: 2261 },
  { budget: TWO_REQUESTS, states: 7959, moved: 4653 },
];

/** MOVE_BUDGET=1,1,1,1 in the environment sets the numbers of requests, crashes, lease lapses and lost answers. */
function selectBudgets(): MigrationBudget[] {
  const override = process.env.MOVE_BUDGET?.split(',').map(Number);
  if (!override) return [LOST_ANSWER, CRASH, LAPSE, TWO_REQUESTS];
  const [requests, crashes, lapses, lostAnswers] = override;
  return [{ requests, crashes, lapses, lostAnswers }];
}

test('no order of events in a migration leads to two leaders or to a shard that stays without decisions', () => {
  for (const budget of selectBudgets()) {
    const { states, moved, twoLeaders, stuck } = exploreMigrations(budget, 'none');
    console.log(`${JSON.stringify(budget)}: ${states} states, ${moved} after a move`);
    assert.deepEqual({ twoLeaders, stuck }, { twoLeaders: null, stuck: null });
    assert.ok(moved > 100, 'the shard moved');
    const expected = EXPECTED_COUNTS.find((each) => isDeepStrictEqual(each.budget, budget));
    if (expected)
      assert.deepEqual({ states, moved }, { states: expected.states, moved: expected.moved });
  }
});

// Shows that each guard is needed: without it, the exploration finds two leaders.
const unsafeMistakes: [SeededMigrationFault, MigrationBudget][] = [
  ['trusts-own-lease', LOST_ANSWER],
  ['resumes-on-silence', LOST_ANSWER],
  ['resumes-on-failure', LOST_ANSWER],
  ['takes-without-record', LOST_ANSWER],
  ['takes-without-term', CRASH],
  ['quiesces-without-record', LOST_ANSWER],
];
for (const [mistake, budget] of unsafeMistakes) {
  test(`the exploration finds two leaders with the mistake ${mistake}`, () => {
    const { twoLeaders } = exploreMigrations(budget, mistake);
    assert.ok(twoLeaders !== null);
  });
}

test('the exploration finds a shard without decisions with the mistake waits-without-limit', () => {
  const { stuck } = exploreMigrations(CRASH, 'waits-without-limit');
  assert.ok(stuck !== null);
});
