import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Costs } from '../../simulation/costs.js';
import { runForCosts } from './cost-run.js';

const MACHINES = 50;
const { leaderMinute, standbyMinute, job } = await runForCosts({
  controllers: 3,
  machines: MACHINES,
  seed: 1,
});

/** Checks upper bounds of costs. A bound is the present cost with a small margin for differences between seeds. */
function assertAtMost(costs: Costs, bounds: Partial<Costs>): void {
  const beyond = Object.entries(bounds).flatMap(([name, bound]) => {
    const count = costs[name as keyof Costs];
    return count > bound ? [`${name}: ${count}, at most ${bound}`] : [];
  });
  assert.deepEqual(beyond, []);
}

test('a leader whose workers report no changes records nothing and opens no connection', () => {
  assert.ok(
    Math.abs(leaderMinute.heartbeats / (MACHINES * 60) - 1) < 0.05,
    'all workers send heartbeats to the leader',
  );
  assertAtMost(leaderMinute, {
    stateRequests: 200,
    transactions: 0,
    changes: 0,
    cloudRequests: 36,
    directCommands: 0,
    peerFrames: 252,
    peerBytes: 24_708,
    connections: 0,
  });
});

test('a heartbeat costs the leader at most 0.75 timers', () => {
  assert.ok(leaderMinute.timers / leaderMinute.heartbeats <= 0.75, String(leaderMinute.timers));
});

test('a standby only watches, renews its lease and sends frames to its peers', () => {
  assertAtMost(standbyMinute, {
    heartbeats: 0,
    stateRequests: 85,
    transactions: 0,
    cloudRequests: 0,
    directCommands: 0,
    peerFrames: 240,
    peerBytes: 19_200,
    timers: 900,
    connections: 0,
  });
});

test('a job of one task costs at most three transactions with four changes, and one direct command', () => {
  assert.equal(job.directCommands, 1, 'a direct command starts the task');
  assertAtMost(job, {
    stateRequests: 9,
    transactions: 3,
    changes: 4,
    cloudRequests: 0.5,
    peerFrames: 2,
    peerBytes: 62,
    timers: 25,
    connections: 0.5,
  });
});
