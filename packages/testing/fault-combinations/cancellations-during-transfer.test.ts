/**
 * Guards against cancelled jobs that start again or run on when their cancellation is confirmed while leadership
 * changes: the new leader has not yet read its records, and may fail or face an outage before it does.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Fault, ScenarioResult } from '../simulation/index.js';
import {
  confirmedCancellations,
  killedTasks,
  lastTaskLeftAt,
  runScenarioWithSeeds,
  heartbeatsAnswered,
  tasksRunningAt,
} from './run-queries.js';
import {
  BUSY_FROM_S,
  CANCEL_S,
  LEASE_S,
  HEARTBEAT_INTERVAL_S,
  steadyScenario,
} from './steady-work.js';

const BEGIN_S = BUSY_FROM_S;
/** With this latency, a new leader takes about two seconds to read its records, by several requests in sequence. */
const SLOW_STATE_MS: [number, number] = [250, 450];

/** Times at which a controller had read its records and began to schedule, from its log. */
function readyTimes({ controllers }: ScenarioResult, name: string): number[] {
  const { log } = controllers.find((controller) => controller.name === name)!;
  return log.entries('leader ready').map(({ atS }) => atS);
}

test('jobs cancelled in the seconds in which leadership changes end at once and do not start again', async () => {
  const cancelsAtS = [0.5, 1.5, 2.5].map((s) => BEGIN_S + s);
  const faults: Fault[] = [
    { kind: 'state-slow', atS: BEGIN_S - 2, forS: 12, latencyMs: SLOW_STATE_MS },
    { kind: 'controller-crash', atS: BEGIN_S, controllers: 'leader', downS: 6 },
    ...cancelsAtS.map((atS): Fault => ({ kind: 'cancel-now', atS, count: 3 })),
    { kind: 'cancel-now', atS: BEGIN_S, afterTakeoverS: 0, count: 3 },
  ];
  const scenario = steadyScenario('cancelled as the work changes hands', BEGIN_S + 60, faults);
  await runScenarioWithSeeds(scenario, [1, 2, 3, 4], (result) => {
    const [crash] = result.faults.of('controller-crash');
    const successor = result.leaders.find(({ term }) => term > crash.leader!.term)!;
    const readyAt = readyTimes(result, successor.leader).find((atS) => atS > successor.atS)!;
    const confirmed = confirmedCancellations(result, crash.fromS, readyAt);
    assert.ok(confirmed.length >= 4, `${confirmed.length} confirmations while nobody scheduled`);
    assert.ok(confirmed.some(({ atS }) => atS < successor.atS));
    assert.ok(confirmed.some(({ atS }) => atS > successor.atS));
    for (const { job, atS } of confirmed) {
      const started = result.timeline
        .of('task-started', atS)
        .filter(({ task }) => task.job === job);
      assert.deepEqual(started, []);
      assert.ok(lastTaskLeftAt(result, job) < Math.max(atS, readyAt) + 3 * HEARTBEAT_INTERVAL_S);
    }
    assert.deepEqual(killedTasks(result, BEGIN_S, BEGIN_S + 60), []);
  });
});

test('jobs cancelled between the crashes of two leaders, the second while it reads its records, end in time in an outage', async () => {
  const faults: Fault[] = [
    { kind: 'state-slow', atS: BEGIN_S - 2, forS: 120, latencyMs: SLOW_STATE_MS },
    { kind: 'controller-crash', atS: BEGIN_S, controllers: 'leader', downS: 5 },
    { kind: 'cancel-now', atS: BEGIN_S + 0.4, count: 8 },
    {
      kind: 'controller-crash',
      atS: BEGIN_S,
      afterTakeoverS: 0.2,
      controllers: 'leader',
      downS: 5,
    },
    { kind: 'state-outage', atS: BEGIN_S, afterTakeoverS: 0.3, forS: CANCEL_S + 10 },
  ];
  const scenario = steadyScenario('two leaders crash, then an outage', BEGIN_S + 75, faults);
  await runScenarioWithSeeds(scenario, [1, 2, 3, 4], (result) => {
    const [first, second] = result.faults.of('controller-crash');
    const [outage] = result.faults.of('state-outage');
    assert.notEqual(second.leader!.leader, first.leader!.leader);
    assert.deepEqual(second.controllers, [second.leader!.leader]);
    const ready = readyTimes(result, second.leader!.leader);
    assert.ok(!ready.some((atS) => atS > second.leader!.atS && atS < outage.untilS));
    const confirmed = confirmedCancellations(result, first.fromS, second.fromS);
    assert.ok(confirmed.length >= 3, `${confirmed.length} confirmations`);
    const ranOn = confirmed.filter(({ job, atS }) => lastTaskLeftAt(result, job) > atS + 2);
    assert.ok(ranOn.length >= 3, `${ranOn.length} jobs ran on`);
  });
});

test('a leader that cannot read its records because of an outage ends jobs cancelled before its term', async () => {
  const faults: Fault[] = [
    { kind: 'state-slow', atS: BEGIN_S - 2, forS: 120, latencyMs: SLOW_STATE_MS },
    { kind: 'controller-crash', atS: BEGIN_S, controllers: 'leader', downS: 0.2 },
    { kind: 'cancel-now', atS: BEGIN_S + 0.4, count: 8 },
    { kind: 'state-outage', atS: BEGIN_S, afterTakeoverS: 0.3, forS: CANCEL_S + 10 },
  ];
  const scenario = steadyScenario('records not read', BEGIN_S + 75, faults);
  await runScenarioWithSeeds(scenario, [1, 2, 3, 4], (result) => {
    const [crash] = result.faults.of('controller-crash');
    const [outage] = result.faults.of('state-outage');
    const leader = outage.leader!;
    assert.ok(leader.term > crash.leader!.term);
    const ready = readyTimes(result, leader.leader);
    assert.ok(!ready.some((atS) => atS > leader.atS && atS < outage.untilS));
    const confirmed = confirmedCancellations(result, crash.fromS, outage.fromS);
    assert.ok(confirmed.length >= 3, `${confirmed.length} confirmations`);
    for (const { job } of confirmed) {
      assert.ok(lastTaskLeftAt(result, job) < outage.fromS + LEASE_S, `${job} ran on`);
    }
    // The leader has read no records, and keeps all other work by what it and its peers know.
    assert.ok(
      heartbeatsAnswered(result, leader.leader, outage.fromS, outage.untilS) > 10 * LEASE_S,
    );
    assert.deepEqual(killedTasks(result, BEGIN_S, outage.untilS + LEASE_S), []);
    assert.ok(tasksRunningAt(result, outage.untilS) >= 10);
  });
});
