import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StateServiceFixture } from '#testing';
import { GroupCommit } from './group-commit.js';
import { StateRefused } from '#wire';

const LIMITS = { rps: 500, writeRps: 50, valueBytes: 8192, txnOps: 24 };
const LEADER_SHARES = { least: 0.6, most: 0.8 };
const FOLLOWER_SHARES = { least: 0.05, most: 0.3 };
const FOLLOWERS = 6;
const SECONDS = 30;

test('a leader gets its minimum share while six followers ask for more than theirs', async () => {
  const state = await StateServiceFixture.start(LIMITS);
  const leader = state.client(state.controller('10.0.0.1'));
  leader.setChangeShares(LEADER_SHARES);
  let recorded = 0;
  const record = async () => {
    for (let i = 0; ; i++) {
      const txn = leader.txnInBackground([], [{ put: `machines/${i % 9}`, value: i }]);
      await txn.then(
        () => recorded++,
        (err: unknown) => assert.ok(err instanceof StateRefused),
      );
    }
  };
  for (let n = 0; n < 4; n++) void record();
  let accepted = 0;
  for (let n = 0; n < FOLLOWERS; n++) {
    const runtime = state.controller(`10.0.1.${n}`);
    const client = state.client(runtime);
    client.setChangeShares(FOLLOWER_SHARES);
    const commits = new GroupCommit({ client, runtime, maxQueue: 50 });
    const submit = async () => {
      for (let i = 0; ; i++) {
        const key = `jobs/${n}-${accepted}-${i}`;
        const commit = commits.commit('blue', [{ key, version: 0 }], [{ put: key, value: i }]);
        await commit.then(
          () => accepted++,
          (err: unknown) => assert.ok(err instanceof StateRefused),
        );
      }
    };
    for (let submitter = 0; submitter < 10; submitter++) void submit();
  }
  await state.run(SECONDS);
  assert.ok(
    recorded >= 0.9 * LEADER_SHARES.least * LIMITS.writeRps * SECONDS,
    `${recorded} recorded`,
  );
  assert.ok(
    accepted >= 0.5 * (1 - LEADER_SHARES.most) * LIMITS.writeRps * SECONDS,
    `${accepted} accepted`,
  );
});

test('a controller halves its rate after a refusal, and regains its maximum once others are idle', async () => {
  const state = await StateServiceFixture.start(LIMITS);
  const client = state.client(state.controller());
  client.setChangeShares(FOLLOWER_SHARES);
  const most = FOLLOWER_SHARES.most * LIMITS.writeRps;
  assert.equal(client.available().changes, most);
  // Another controller uses the whole rate limit.
  const other = state.client(state.controller('10.0.0.2'));
  const puts = (prefix: string, count: number) =>
    Array.from({ length: count }, (_, i) => ({ put: `${prefix}/${i}`, value: 0 }));
  for (const prefix of ['x', 'y']) void other.txnInBackground([], puts(prefix, LIMITS.txnOps));
  await state.run(0.05);
  let refusals = 0;
  client.txnInBackground([], puts('z', 9)).catch(() => refusals++);
  await state.run(5);
  assert.equal(refusals, 1);
  assert.ok(client.available().changes <= most / 2 + 1e-9);
  for (let s = 0; s < 25; s++) {
    void client.txnInBackground([], [{ put: 'z', value: s }]);
    await state.run(1);
  }
  assert.ok(client.available().changes > most - 2);
});
