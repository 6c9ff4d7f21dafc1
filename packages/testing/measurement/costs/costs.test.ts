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

/** The most that each may come to: what it comes to at present, and a little for what differs by seed. */
function assertAtMost(costs: Costs, bounds: Partial<Costs>): void {
  const beyond = Object.entries(bounds).flatMap(([name, bound]) => {
    const count = costs[name as keyof Costs];
    return count > bound ? [`${name}: ${count}, at most ${bound}`] : [];
  });
  assert.deepEqual(beyond, []);
}

test('an owner whose workers report nothing new records nothing and opens no connection', () => {
  assert.ok(
    Math.abs(leaderMinute.heartbeats / (MACHINES * 60) - 1) < 0.05,
    'all workers report to it',
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

test('a report costs an owner less than one timer', () => {
  assert.ok(leaderMinute.timers / leaderMinute.heartbeats <= 0.75, String(leaderMinute.timers));
});

test('a controller that owns nothing only watches, renews and greets', () => {
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

test('a job of one task costs three transactions with four changes, and one direct command', () => {
  assert.equal(job.directCommands, 1, 'it was started');
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
