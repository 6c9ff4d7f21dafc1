/**
 * Guards against killed tasks when a leader no longer hears its workers, and against needless changes of leader
 * when no controller could hear them or the leader's own freeze explains their silence.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CutMode, Fault, ScenarioResult } from '../../simulation/index.js';
import {
  killedTasks,
  machinesUp,
  runScenarioWithSeeds,
  heartbeatsAnswered,
  tasksRunningAt,
} from '../run-queries.js';
import { BUSY_FROM_S, LEASE_S, HEARTBEAT_INTERVAL_S, steadyScenario } from '../steady-work.js';

const BEGIN_S = BUSY_FROM_S;
const CUT_S = 35;
const LENGTH_S = BEGIN_S + CUT_S + 20;
/** Seconds for which a worker waits for the answer to a heartbeat. */
const HEARTBEAT_TIMEOUT_S = 4;

function leaderCutFromWorkers(mode: CutMode): Fault {
  const span = { atS: BEGIN_S, forS: CUT_S };
  return { kind: 'controller-cut', ...span, controllers: 'leader', from: ['workers'], mode };
}

/** Asserts that the leader answered no worker during the cut, which began with several machines and many tasks. */
function assertLeaderLostWorkers(result: ScenarioResult) {
  const [{ leader, fromS, untilS }] = result.faults.of('controller-cut');
  assert.ok(leader, 'nobody led');
  assert.equal(heartbeatsAnswered(result, leader.leader, fromS + 0.5, untilS), 0);
  assert.ok(machinesUp(result, fromS, fromS).length >= 2);
  assert.ok(tasksRunningAt(result, fromS) >= 10);
  return { leader, fromS, untilS };
}

test('no task is killed when the leader is cut off from all workers, in each mode of the cut', async () => {
  const modes: CutMode[] = ['drop', 'hold', 'refuse'];
  for (const [index, mode] of modes.entries()) {
    const scenario = steadyScenario(`no workers (${mode})`, LENGTH_S, [leaderCutFromWorkers(mode)]);
    await runScenarioWithSeeds(scenario, [1 + 2 * index, 2 + 2 * index], (result) => {
      const { leader, fromS, untilS } = assertLeaderLostWorkers(result);
      const successor = result.leaders.find(({ term }) => term > leader.term);
      assert.ok(successor, 'nobody took over');
      assert.ok(successor.atS < fromS + HEARTBEAT_TIMEOUT_S, `taken over at ${successor.atS} s`);
      assert.notEqual(successor.leader, leader.leader);
      assert.deepEqual(killedTasks(result, fromS, untilS + LEASE_S), []);
      assert.ok(tasksRunningAt(result, untilS) >= 10);
    });
  }
});

test('no task is killed when the leader is cut off from all workers while another controller is silent', async () => {
  const faults: Fault[] = [
    {
      kind: 'controller-crash',
      atS: BEGIN_S - 5,
      controllers: 'one-follower',
      downS: CUT_S,
      silent: true,
    },
    leaderCutFromWorkers('drop'),
  ];
  await runScenarioWithSeeds(
    steadyScenario('one is silent', LENGTH_S, faults),
    [1, 2, 3],
    (result) => {
      const { leader, fromS, untilS } = assertLeaderLostWorkers(result);
      const [crash] = result.faults.of('controller-crash');
      const others = result.controllers.map(({ name }) => name);
      const remaining = others.filter(
        (name) => name !== leader.leader && name !== crash.controllers[0],
      );
      assert.equal(remaining.length, 1);
      assert.ok(heartbeatsAnswered(result, remaining[0], fromS, untilS) > LEASE_S);
      assert.deepEqual(killedTasks(result, fromS, untilS), []);
    },
  );
});

test('leadership changes at most once while no controller can reach any worker', async () => {
  const cutS = 25;
  const faults: Fault[] = [
    {
      kind: 'machine-cut',
      atS: BEGIN_S,
      forS: cutS,
      machines: { share: 1 },
      mode: 'drop',
    },
  ];
  const scenario = steadyScenario('nobody is reached', BEGIN_S + cutS + 30, faults);
  await runScenarioWithSeeds(scenario, [1, 2], (result) => {
    const [{ fromS, untilS, machines }] = result.faults.of('machine-cut');
    assert.ok(machines.length >= 2);
    const changes = result.leaders.filter(({ atS }) => atS > fromS && atS < untilS);
    assert.ok(changes.length <= 1, `${changes.length} changes`);
    assert.ok(tasksRunningAt(result, untilS + 2 * LEASE_S) >= 5);
  });
});

test('a leader that wakes from a freeze does not step down because its workers seem unreachable', async () => {
  const frozenS = 2.2 * HEARTBEAT_INTERVAL_S;
  const faults: Fault[] = [0, 8, 16].map((laterS) => ({
    kind: 'controller-freeze',
    atS: BEGIN_S + laterS,
    controllers: 'leader',
    forS: frozenS,
  }));
  await runScenarioWithSeeds(
    steadyScenario('stands still', BEGIN_S + 50, faults),
    [1, 2],
    (result) => {
      const freezes = result.faults.of('controller-freeze');
      assert.equal(freezes.length, 3);
      const stepDowns = result.controllers.flatMap(({ log }) =>
        log.entries('leader stepped down: workers unreachable'),
      );
      assert.deepEqual(stepDowns, []);
      assert.deepEqual(killedTasks(result, BEGIN_S, BEGIN_S + 50), []);
    },
  );
});
