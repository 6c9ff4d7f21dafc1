import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StateWorld } from '#testing';
import { PrefixCache } from './prefix-cache.js';
import { LeaderElection } from './leader-election.js';
import { CLUSTER_PREFIX } from './record-keys.js';

const LIMITS = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };
/** As in the largest deployments: the request timeout is nearly as long as the TTL of the lease. */
const TTL_S = 3.8;
const TIMEOUT_MS = 2500;

/** Starts a controller and waits until it leads the shard. */
async function electLeader(seed: number) {
  const state = await StateWorld.start(LIMITS, seed);
  const runtime = state.controller();
  const client = state.client(runtime, { timeoutMs: TIMEOUT_MS });
  const cacheOptions = { client, runtime, watchMs: 10_000, syncSpacingMs: 500 };
  const cache = new PrefixCache({ ...cacheOptions, prefix: CLUSTER_PREFIX });
  const election = new LeaderElection({ client, runtime, cache, name: 'c', shard: 0, ttlS: TTL_S });
  const { signal } = new AbortController();
  void cache.run(signal);
  void election.run(signal);
  await state.run(5);
  assert.ok(election.term.value);
  return { state, client, election, term: election.term.value.term };
}

/** Returns the fraction of leaders that keep their term through a network outage of `stallS` seconds. */
async function measureTermSurvival(stallS: number, seeds: number): Promise<number> {
  let survived = 0;
  for (let seed = 1; seed <= seeds; seed++) {
    const { state, election, term } = await electLeader(seed);
    await state.run(seed / 20);
    const restoreNetwork = state.network.apply({
      opener: ({ role }) => role === 'controller',
      acceptor: ({ role }) => role === 'state',
      effect: 'drop',
    });
    await state.run(stallS);
    restoreNetwork();
    await state.run(2 * TTL_S);
    if (election.term.value?.term === term) survived++;
  }
  return survived / seeds;
}

test('a controller that resigns just before its campaign does not campaign, and is elected later', async () => {
  // Guards against a leader key that is attached to no lease, and so would never be removed.
  const state = await StateWorld.start(LIMITS);
  const runtime = state.controller();
  const client = state.client(runtime, { timeoutMs: TIMEOUT_MS });
  const cache = new PrefixCache({
    client,
    runtime,
    prefix: CLUSTER_PREFIX,
    watchMs: 10_000,
    syncSpacingMs: 500,
  });
  let deferralChecks = 0;
  const election = new LeaderElection({
    client,
    runtime,
    cache,
    name: 'c',
    shard: 0,
    ttlS: TTL_S,
    // The election calls this just before a campaign.
    defersCampaign: () => {
      if (deferralChecks++ === 0) election.resign();
      return false;
    },
  });
  const { signal } = new AbortController();
  void cache.run(signal);
  void election.run(signal);
  await state.run(5);
  assert.ok(deferralChecks >= 2, `${deferralChecks}`);
  assert.equal(election.term.value?.leaseId, election.currentLeader?.leaseId);
  assert.ok(election.term.value);
});

test('a leader whose renewals get no answer for a time keeps its term', async () => {
  // Guards against a leader that waits for one lost answer for nearly the TTL of its lease.
  for (const stallS of [0.5, 2.5]) assert.equal(await measureTermSurvival(stallS, 20), 1);
});

test('a leader sends few extra renewals while answers are slow, and at most 8 per TTL without answers', async () => {
  const { state, client } = await electLeader(1);
  const requestsIn = async (seconds: number) => {
    const before = client.requestsSent;
    await state.run(seconds);
    return client.requestsSent - before;
  };
  const pauseS = TTL_S / 5;
  const watches = 60 / 10 + 1;
  assert.ok((await requestsIn(60)) < watches + 60 / (0.95 * pauseS));
  const slowS = 1;
  state.service.setLatency({ usualMs: [900, 1100], slowShare: 0, slowMs: [0, 0] });
  assert.ok((await requestsIn(60)) < watches + 60 / (0.95 * (pauseS + slowS)) + 5);
  state.service.setLatency({ usualMs: [1e9, 1e9], slowShare: 0, slowMs: [0, 0] });
  assert.ok((await requestsIn(60)) < (60 * 8) / TTL_S);
});
