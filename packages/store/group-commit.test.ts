import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TxnMalformed } from '#wire';
import { StateServiceFixture } from '#testing';
import { GroupCommit } from './group-commit.js';

const LIMITS = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };
/** Fraction of the change rate limit that a follower may use. */
const SHARE = 0.3;

test('a burst of changes at a follower is committed as fast as its share of the rate allows', async () => {
  const state = await StateServiceFixture.start(LIMITS);
  const runtime = state.controller();
  const client = state.client(runtime, { share: SHARE });
  state.service.setLatency({ usualMs: [400, 400], slowShare: 0, slowMs: [0, 0] });
  const commits = new GroupCommit({ client, runtime, maxQueue: 100 });
  const recorded: number[] = [];
  for (let i = 0; i < 40; i++) {
    const key = `jobs/${i}`;
    void commits
      .commit('red', [{ key, version: 0 }], [{ put: key, value: i }])
      .then((outcome) => outcome.ok && recorded.push(state.now));
  }
  // The first change is sent alone; changes queued during its transaction share the next ones.
  await state.run(0.85);
  assert.ok(recorded.length >= 13, `${recorded.length} recorded`);
  await state.run(40 / (SHARE * LIMITS.writeRps) + 1.25 - 0.85);
  assert.equal(recorded.length, 40);
  assert.equal(client.requestsRefused, 0);
});

test('a change that the state service rejects as malformed does not fail others in its transaction', async () => {
  const state = await StateServiceFixture.start({ ...LIMITS, valueBytes: 1024 });
  const runtime = state.controller();
  const client = state.client(runtime, { limits: LIMITS });
  const commits = new GroupCommit({ client, runtime, maxQueue: 100 });
  const outcomes = new Map<string, unknown>();
  for (const [key, length] of Object.entries({ first: 1, large: 2000, last: 1 })) {
    const change = { put: key, value: 'x'.repeat(length) };
    commits.commit('red', [{ key, version: 0 }], [change]).then(
      ({ ok }) => outcomes.set(key, ok),
      (err: unknown) => outcomes.set(key, err),
    );
  }
  await state.run(0.2);
  assert.ok(outcomes.get('large') instanceof TxnMalformed);
  assert.deepEqual([outcomes.get('first'), outcomes.get('last')], [true, true]);
});
