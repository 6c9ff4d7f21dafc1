/**
 * Guards against unanswered users and killed tasks when the state service takes up to 1.3 seconds for an answer,
 * or is slow and then refuses the leader and later every controller.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Fault } from '../simulation/index.js';
import {
  assertAnswersAllMachines,
  confirmedCancellations,
  killedTasks,
  runScenarioWithSeeds,
} from './run-queries.js';
import { BUSY_FROM_S, CANCEL_S, LEASE_S, steadyScenario } from './steady-work.js';

const BEGIN_S = BUSY_FROM_S;

test('cancellations and status requests are answered, and no task is killed, while the state service answers slowly', async () => {
  const slowS = 25;
  const faults: Fault[] = [
    { kind: 'close-looks', atS: BEGIN_S - 5, forS: slowS + 10 },
    { kind: 'state-slow', atS: BEGIN_S, forS: slowS, latencyMs: [200, 1300] },
    { kind: 'cancel-at-end', atS: BEGIN_S, forS: slowS, share: 0.5 },
    { kind: 'cancel-now', atS: BEGIN_S + 3, count: 5 },
    { kind: 'cancel-now', atS: BEGIN_S + 14, count: 5 },
  ];
  await runScenarioWithSeeds(
    steadyScenario('slow state service', BEGIN_S + 65, faults),
    [1, 2, 3],
    (result) => {
      const [slow] = result.faults.of('state-slow');
      const confirmed = confirmedCancellations(result, slow.fromS, slow.untilS);
      assert.ok(confirmed.length >= 6, `${confirmed.length} confirmations`);
      const polls = result.timeline
        .of('answered', slow.fromS, slow.untilS)
        .filter(({ request, status }) => request.kind === 'poll' && status === 200);
      assert.ok(polls.length > slowS, `${polls.length} status requests answered`);
      assert.deepEqual(killedTasks(result, slow.fromS, slow.untilS + LEASE_S), []);
    },
  );
});

test('cancellations are confirmed and no task is killed when a slow state service refuses the leader alone, then everybody', async () => {
  const outageAtS = BEGIN_S + 6;
  const outageS = CANCEL_S + 8;
  const faults: Fault[] = [
    { kind: 'close-looks', atS: BEGIN_S - 5, forS: 70 },
    { kind: 'state-slow', atS: BEGIN_S, forS: outageS + 20, latencyMs: [50, 350] },
    { kind: 'cancel-now', atS: BEGIN_S + 2, count: 3 },
    { kind: 'state-refuses', atS: outageAtS - 1.4, controllers: 'leader', forS: 14 },
    { kind: 'cancel-now', atS: outageAtS - 1.4, count: 8 },
    { kind: 'state-outage', atS: outageAtS, forS: outageS },
    { kind: 'cancel-now', atS: outageAtS + 10, count: 3 },
  ];
  const scenario = steadyScenario('slow, refused, out', outageAtS + outageS + 25, faults);
  await runScenarioWithSeeds(scenario, [1, 2, 3], (result) => {
    const [refusal] = result.faults.of('state-refuses');
    const [outage] = result.faults.of('state-outage');
    const leader = refusal.leader!.leader;
    assert.deepEqual(outage.leader, refusal.leader);
    const whileRefused = confirmedCancellations(result, refusal.fromS, outage.fromS);
    assert.ok(whileRefused.length >= 3, `${whileRefused.length} confirmations`);
    assert.ok(whileRefused.every(({ controller }) => controller !== leader));
    const requests = result.timeline
      .of('asked', outage.fromS, outage.untilS)
      .filter(({ request }) => request.kind !== 'submit');
    assert.ok(requests.length > outageS);
    assertAnswersAllMachines(result, leader, outage.fromS, outage.untilS);
    assert.deepEqual(killedTasks(result, refusal.fromS, outage.untilS + LEASE_S), []);
  });
});
