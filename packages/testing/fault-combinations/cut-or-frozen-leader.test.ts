/**
 * Guards against cancelled jobs that run on when a new leader confirmed their cancellation while their machines
 * still obey the old leader, which is cut off or frozen and does not know of it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CutMode, Fault, ScenarioResult } from '../simulation/index.js';
import {
  assertAnswersAllMachines,
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

/** The leader at the beginning of the first fault, and the first controller that claimed the shard after that. */
function leaderAndSuccessor({ faults, leaders }: ScenarioResult) {
  const { leader } = faults.records[0];
  const successor = leaders.find(({ term }) => term > leader!.term);
  assert.ok(leader && successor, 'nobody took over');
  assert.notEqual(successor.leader, leader.leader);
  return { leader, successor };
}

test('jobs cancelled through the new leader end in time on machines that obey the old leader, which is cut off', async () => {
  const cutS = 45;
  const modes: CutMode[] = ['drop', 'hold', 'refuse'];
  for (const [index, mode] of modes.entries()) {
    const faults: Fault[] = [
      {
        kind: 'controller-cut',
        atS: BEGIN_S,
        forS: cutS,
        controllers: 'leader',
        from: ['state', 'controllers'],
        mode,
      },
      { kind: 'cancel-now', atS: BEGIN_S + 8, count: 8 },
    ];
    const scenario = steadyScenario(`leader cut off (${mode})`, BEGIN_S + cutS + 20, faults);
    await runScenarioWithSeeds(scenario, [1 + 2 * index, 2 + 2 * index], (result) => {
      const [cut] = result.faults.of('controller-cut');
      const { leader, successor } = leaderAndSuccessor(result);
      const confirmed = confirmedCancellations(result, successor.atS, cut.untilS);
      assert.ok(confirmed.length >= 4, `${confirmed.length} confirmations`);
      assert.ok(confirmed.every(({ controller }) => controller !== leader.leader));
      const lastConfirmedS = Math.max(...confirmed.map(({ atS }) => atS));
      const heartbeats = heartbeatsAnswered(result, leader.leader, lastConfirmedS, cut.untilS);
      assert.ok(heartbeats > LEASE_S, `${heartbeats} heartbeats answered by the old leader`);
      const ranOn = confirmed.filter(
        ({ job, atS }) => lastTaskLeftAt(result, job) > atS + HEARTBEAT_INTERVAL_S,
      );
      assert.ok(ranOn.length >= 3, `${ranOn.length} jobs ran on`);
      // The old leader releases its workers early enough for the new leader to keep their tasks.
      assert.deepEqual(killedTasks(result, cut.fromS, cut.untilS), []);
      assert.ok(tasksRunningAt(result, cut.untilS) >= 10);
    });
  }
});

for (const frozenS of [2, 5, 9]) {
  test(`a leader that freezes for ${frozenS} s until an outage has begun ends jobs whose cancellation others confirmed`, async () => {
    const outageAtS = BEGIN_S + 1;
    const faults: Fault[] = [
      { kind: 'controller-freeze', atS: BEGIN_S, controllers: 'leader', forS: frozenS },
      { kind: 'cancel-now', atS: BEGIN_S + 0.2, count: 8 },
      { kind: 'state-outage', atS: outageAtS, forS: CANCEL_S + 10 },
    ];
    const scenario = steadyScenario('frozen into an outage', outageAtS + CANCEL_S + 30, faults);
    await runScenarioWithSeeds(scenario, [1, 2], (result) => {
      const [freeze] = result.faults.of('controller-freeze');
      const [outage] = result.faults.of('state-outage');
      const leader = freeze.leader!.leader;
      assert.deepEqual(outage.leader, freeze.leader);
      assert.ok(freeze.untilS > outage.fromS);
      const confirmed = confirmedCancellations(result, freeze.fromS, outage.fromS);
      assert.ok(confirmed.length >= 3, `${confirmed.length} confirmations`);
      for (const { job, controller } of confirmed) {
        assert.notEqual(controller, leader);
        assert.ok(lastTaskLeftAt(result, job) > outage.fromS, `${job} ended before the outage`);
      }
      assertAnswersAllMachines(result, leader, freeze.untilS + LEASE_S, outage.untilS);
      if (frozenS < LEASE_S / 2) {
        assert.deepEqual(killedTasks(result, outage.fromS, outage.untilS + LEASE_S), []);
      }
    });
  });
}

test('a leader that wakes after its successor took over, cut off from it and the state service, releases its workers in time', async () => {
  const frozenS = 3.8;
  const cutS = 50;
  const faults: Fault[] = [
    { kind: 'controller-freeze', atS: BEGIN_S, controllers: 'leader', forS: frozenS },
    {
      kind: 'controller-cut',
      atS: BEGIN_S + 0.6,
      forS: cutS,
      controllers: 'leader',
      from: ['state', 'controllers'],
      mode: 'hold',
    },
    { kind: 'cancel-now', atS: BEGIN_S + 1, count: 8 },
  ];
  const scenario = steadyScenario('wakes late', BEGIN_S + cutS + 20, faults);
  await runScenarioWithSeeds(scenario, [1, 2, 3], (result) => {
    const [freeze] = result.faults.of('controller-freeze');
    const [cut] = result.faults.of('controller-cut');
    const { leader, successor } = leaderAndSuccessor(result);
    assert.deepEqual(cut.controllers, [leader.leader]);
    assert.ok(successor.atS < freeze.untilS, `the successor began at ${successor.atS} s`);
    const confirmed = confirmedCancellations(result, freeze.fromS, freeze.untilS);
    assert.ok(confirmed.length >= 3, `${confirmed.length} confirmations`);
    // The old leader answered workers after it woke up, and released them in time.
    assert.ok(heartbeatsAnswered(result, leader.leader, freeze.untilS + 2, cut.untilS) > LEASE_S);
    assert.equal(heartbeatsAnswered(result, leader.leader, freeze.fromS + CANCEL_S, cut.untilS), 0);
    const ranOn = confirmed.filter(({ job }) => lastTaskLeftAt(result, job) > freeze.untilS + 2);
    assert.ok(ranOn.length >= 1, 'no cancelled job ran on');
    const { log } = result.controllers.find(({ name }) => name === leader.leader)!;
    const cloudActions = [
      ...log.entries('scale-out completed'),
      ...log.entries('machines deprovisioned'),
    ];
    assert.deepEqual(
      cloudActions.filter(({ atS }) => atS > freeze.untilS && atS < cut.untilS),
      [],
    );
  });
});
