/**
 * Guards against killed tasks and lost cancellations when leaders fail again and again, or are slow instead of
 * dead, so that leadership changes often or the next leader fails too.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Fault } from '../../simulation/index.js';
import {
  confirmedCancellations,
  killedTasks,
  lastTaskLeftAt,
  runScenarioWithSeeds,
  tasksRunningAt,
} from '../run-queries.js';
import { BUSY_FROM_S, CANCEL_S, LEASE_S, steadyScenario } from '../steady-work.js';

const BEGIN_S = BUSY_FROM_S;

/** Times with a fixed period from BEGIN_S on, in seconds after the start of a scenario. */
function periodicTimes(periodS: number, count: number): number[] {
  return Array.from({ length: count }, (_, index) => BEGIN_S + index * periodS);
}

test('no task is killed while the current leader crashes every twelve seconds for two minutes', async () => {
  const crashes = periodicTimes(12, 10).map((atS): Fault => ({
    kind: 'controller-crash',
    atS,
    controllers: 'leader',
    downS: 8,
  }));
  const untilS = BEGIN_S + 120;
  const faults: Fault[] = [
    ...crashes,
    { kind: 'close-looks', atS: BEGIN_S, forS: 120 },
    ...periodicTimes(30, 4).map((atS): Fault => ({ kind: 'cancel-now', atS: atS + 0.5, count: 4 })),
  ];
  await runScenarioWithSeeds(steadyScenario('flaps', untilS + 20, faults), [1, 2, 3], (result) => {
    const leaders = result.leaders.filter(({ atS }) => atS > BEGIN_S && atS < untilS);
    assert.ok(leaders.length >= 9, `${leaders.length} leaders`);
    const confirmed = confirmedCancellations(result, BEGIN_S, untilS);
    assert.ok(confirmed.length >= 6, `${confirmed.length} confirmations`);
    assert.deepEqual(killedTasks(result, BEGIN_S, untilS), []);
    assert.ok(tasksRunningAt(result, untilS) >= 10);
  });
});

test('no task is killed while the leader loses the state service for four seconds every ten seconds', async () => {
  const cuts = periodicTimes(10, 8).map((atS): Fault => ({
    kind: 'controller-cut',
    atS,
    forS: 4,
    controllers: 'leader',
    from: ['state'],
    mode: 'hold',
  }));
  const untilS = BEGIN_S + 80;
  const faults: Fault[] = [...cuts, { kind: 'late-writes', atS: BEGIN_S, forS: 60, share: 0.2 }];
  await runScenarioWithSeeds(
    steadyScenario('short cuts', untilS + 20, faults),
    [1, 2, 3],
    (result) => {
      assert.equal(result.faults.of('controller-cut').length, cuts.length);
      const leaders = result.leaders.filter(({ atS }) => atS > BEGIN_S && atS < untilS);
      assert.ok(leaders.length >= 4, `${leaders.length} leaders`);
      assert.deepEqual(killedTasks(result, BEGIN_S, untilS), []);
      assert.ok(tasksRunningAt(result, untilS) >= 10);
    },
  );
});

test('no task is killed while the leader freezes for a few seconds every eight seconds and the state service is slow', async () => {
  const freezes = periodicTimes(8, 15).map((atS, index): Fault => ({
    kind: 'controller-freeze',
    atS,
    forS: 1.2 + (index % 3),
    controllers: 'leader',
  }));
  const untilS = BEGIN_S + 120;
  const faults: Fault[] = [
    ...freezes,
    { kind: 'state-slow', atS: BEGIN_S, forS: 120, latencyMs: [50, 400] },
    { kind: 'late-writes', atS: BEGIN_S + 20, forS: 60, share: 0.1 },
    { kind: 'cancel-now', atS: BEGIN_S + 41, count: 8 },
    { kind: 'odd-requests', atS: BEGIN_S + 40, forS: 60 },
  ];
  await runScenarioWithSeeds(steadyScenario('slow', untilS + 20, faults), [1, 2, 3], (result) => {
    assert.equal(result.faults.of('controller-freeze').length, freezes.length);
    const confirmed = confirmedCancellations(result, BEGIN_S + 41, untilS);
    assert.ok(confirmed.length >= 3, `${confirmed.length} confirmations`);
    assert.deepEqual(killedTasks(result, BEGIN_S, untilS), []);
    assert.ok(tasksRunningAt(result, untilS) >= 10);
  });
});

test('cancellations are confirmed and work runs again when all controllers crash right after a long outage', async () => {
  const outageS = CANCEL_S + 10;
  const endS = BEGIN_S + outageS;
  const faults: Fault[] = [
    { kind: 'state-outage', atS: BEGIN_S, forS: outageS },
    { kind: 'odd-requests', atS: BEGIN_S, forS: outageS + 40 },
    { kind: 'close-looks', atS: BEGIN_S, forS: outageS + 40 },
    { kind: 'cancel-at-end', atS: BEGIN_S + 10, forS: outageS, share: 0.5 },
    { kind: 'cancel-now', atS: BEGIN_S + 20, count: 6 },
    { kind: 'controller-freeze', atS: endS - 0.5, controllers: 'leader', forS: 2 },
    { kind: 'controller-crash', atS: endS + 1, controllers: 'all', downS: 3 },
  ];
  const lengthS = endS + 60;
  await runScenarioWithSeeds(steadyScenario('burst', lengthS, faults), [1, 2, 3], (result) => {
    const [outage] = result.faults.of('state-outage');
    const [crash] = result.faults.of('controller-crash');
    assert.ok(crash.fromS > outage.untilS && crash.controllers.length === 3);
    assert.deepEqual(confirmedCancellations(result, BEGIN_S + 1, endS), []);
    // Cancellations requested during the outage are confirmed after it, and the jobs then end in time.
    const confirmed = confirmedCancellations(result, endS, lengthS - LEASE_S);
    assert.ok(confirmed.length >= 4, `${confirmed.length} confirmations`);
    for (const { job, atS } of confirmed) {
      assert.ok(lastTaskLeftAt(result, job) < atS + CANCEL_S, job);
    }
    assert.ok(tasksRunningAt(result, lengthS - 5) >= 10);
  });
});

test('confirmed cancellations are kept while two controllers are silent and the third freezes during its take-over', async () => {
  const silentS = 70;
  const takeoverS = BEGIN_S + 8;
  const faults: Fault[] = [
    { kind: 'late-commands', atS: BEGIN_S - 10, forS: 40, share: 0.4 },
    { kind: 'late-reports', atS: BEGIN_S - 10, forS: 40, share: 0.3, forNextLeader: true },
    { kind: 'cancel-now', atS: BEGIN_S - 0.5, count: 5, hangS: 6 },
    {
      kind: 'controller-crash',
      atS: BEGIN_S,
      controllers: 'one-follower',
      downS: silentS,
      silent: true,
    },
    {
      kind: 'controller-crash',
      atS: BEGIN_S + 0.1,
      controllers: 'leader',
      downS: silentS,
      silent: true,
    },
    { kind: 'controller-freeze', atS: takeoverS, controllers: 'leader', forS: 5 },
    { kind: 'cancel-now', atS: takeoverS + 1, count: 5 },
    { kind: 'machine-deaf', atS: BEGIN_S, forS: 20, machines: { share: 0.3 } },
  ];
  const lengthS = BEGIN_S + silentS + 30;
  await runScenarioWithSeeds(
    steadyScenario('one is left', lengthS, faults),
    [1, 2, 3],
    (result) => {
      const silent = result.faults.of('controller-crash').flatMap(({ controllers }) => controllers);
      assert.equal(new Set(silent).size, 2);
      const [freeze] = result.faults.of('controller-freeze');
      assert.ok(!silent.includes(freeze.controllers[0]));
      const confirmed = confirmedCancellations(result, BEGIN_S - 1, BEGIN_S + silentS);
      assert.ok(confirmed.length >= 4, `${confirmed.length} confirmations`);
      for (const { job, atS } of confirmed) {
        assert.ok(lastTaskLeftAt(result, job) < atS + CANCEL_S, job);
      }
      assert.ok(tasksRunningAt(result, lengthS - 5) >= 10);
    },
  );
});
