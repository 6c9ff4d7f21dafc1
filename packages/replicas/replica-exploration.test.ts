import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isDeepStrictEqual } from 'node:util';
import { exploreReplicas, type ReplicaBudget, type SeededReplicaFault } from '#testing';

const NO_EVENTS = { failures: 0, leaderChanges: 0, lostCommands: 0, requests: 0 };
const FAILURE: ReplicaBudget = { ...NO_EVENTS, failures: 1 };
const LEADER_CHANGES: ReplicaBudget = { ...NO_EVENTS, leaderChanges: 1 };
const FAILURE_AND_REQUEST: ReplicaBudget = { ...NO_EVENTS, failures: 1, requests: 1 };
const FAILURE_AND_LEADER_CHANGE: ReplicaBudget = { ...NO_EVENTS, failures: 1, leaderChanges: 1 };

/** Number of reachable states by budget. A model that distinguishes equivalent states has more. */
const EXPECTED_STATES = [
  { budget: LEADER_CHANGES, states: 32657 },
  { budget: FAILURE_AND_REQUEST, states: 24304 },
];

/**
 * Returns the budgets to explore. The environment variable `REPLICA_BUDGET=2,1,1,1` replaces them by one budget: its
 * numbers of failures, leader changes, lost commands and requests.
 */
function budgetsToExplore(): ReplicaBudget[] {
  const given = process.env.REPLICA_BUDGET?.split(',').map(Number);
  if (!given) return [LEADER_CHANGES, FAILURE_AND_REQUEST];
  const [failures, leaderChanges, lostCommands, requests] = given;
  return [{ failures, leaderChanges, lostCommands, requests }];
}

test('no order of events breaks an answer or runs two generations, and a whole replica stays reachable', () => {
  for (const budget of budgetsToExplore()) {
    const { states, violation, stuck } = exploreReplicas(budget, 'none');
    console.log(`${JSON.stringify(budget)}: ${states} states`);
    assert.deepEqual({ breach: violation, stuck }, { breach: null, stuck: null });
    assert.ok(states > 1000, `${states} states`);
    const known = EXPECTED_STATES.find((each) => isDeepStrictEqual(each.budget, budget));
    if (known) assert.equal(states, known.states);
  }
});

// Shows that each guard is needed: a model that makes the mistake which the guard prevents reaches the breach.
const harmfulMistakes: [SeededReplicaFault, ReplicaBudget, string][] = [
  ['starts-unrecorded', LEADER_CHANGES, 'two generations'],
  ['places-before-gone', FAILURE, 'two generations'],
  ['keeps-incomplete-generation', FAILURE, 'incomplete generation kept'],
  ['adopts-incomplete', FAILURE_AND_LEADER_CHANGE, 'incomplete generation kept'],
  ['records-without-term', LEADER_CHANGES, 'two generations'],
  ['obeys-old-tokens', LEADER_CHANGES, 'two generations'],
  ['trusts-silence', FAILURE, 'two generations'],
  ['answers-without-mates', FAILURE_AND_REQUEST, 'broken answer'],
];
for (const [mistake, budget, expectedBreach] of harmfulMistakes) {
  test(`the exploration finds the expected breach with the mistake ${mistake}`, () => {
    assert.equal(exploreReplicas(budget, mistake).violation?.invariant, expectedBreach);
  });
}
