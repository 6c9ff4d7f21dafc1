/**
 * Guards against killed tasks when a leader disappears without a closed connection, or freezes and wakes up after
 * another controller took over.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  killedTasks,
  runScenarioWithSeeds,
  heartbeatsAnswered,
  tasksRunningAt,
} from '../run-queries.js';
import { BUSY_FROM_S, LEASE_S, steadyScenario } from '../steady-work.js';
import type { ControllerTarget, Fault, ScenarioResult } from '../../simulation/index.js';

const BEGIN_S = BUSY_FROM_S;
const DOWN_S = 80;

/** Faults of controllers that lose power: the process is gone, and connections to it hang without an error. */
function powerOffFaults(controllers: ControllerTarget): Fault[] {
  return [
    {
      kind: 'controller-cut',
      atS: BEGIN_S,
      forS: DOWN_S,
      controllers,
      from: ['state', 'cloud', 'controllers', 'workers', 'users'],
      mode: 'drop',
    },
    { kind: 'controller-crash', atS: BEGIN_S, controllers, downS: DOWN_S, silent: true },
  ];
}

/** Asserts that another controller led before a lease of the former leader's workers could run out. */
function assertTakenOver({ leaders }: ScenarioResult, atS: number): void {
  const successor = leaders.find((leader) => leader.atS > atS);
  assert.ok(successor && successor.atS < atS + LEASE_S / 2, `nobody took over at ${atS} s`);
}

function assertWorkKept(result: ScenarioResult, untilS: number): void {
  assert.ok(tasksRunningAt(result, BEGIN_S) >= 10, 'too few tasks were running');
  assert.deepEqual(killedTasks(result, BEGIN_S, untilS), []);
}

test('no task is killed when a silent leader is away for over a minute, and its return changes no leader', async () => {
  const endS = BEGIN_S + DOWN_S + 30;
  await runScenarioWithSeeds(
    steadyScenario('silent leader', endS, powerOffFaults('leader')),
    [1, 2, 3],
    (result) => {
      const [crash] = result.faults.of('controller-crash');
      assertTakenOver(result, crash.fromS);
      const answered = heartbeatsAnswered(result, crash.leader!.leader, BEGIN_S, BEGIN_S + DOWN_S);
      assert.equal(answered, 0, 'the leader was not silent');
      // Leadership changes once: the return of the former leader causes no other change.
      assert.equal(result.leaders.filter(({ atS }) => atS > BEGIN_S).length, 1);
      assertWorkKept(result, endS);
    },
  );
});

test('the remaining controller takes over and work runs when the leader and a follower are silent for over a minute', async () => {
  const faults = [...powerOffFaults('leader'), ...powerOffFaults('one-follower')];
  const endS = BEGIN_S + DOWN_S + 30;
  await runScenarioWithSeeds(steadyScenario('two silent', endS, faults), [1, 2, 3], (result) => {
    assert.equal(result.faults.of('controller-crash').length, 2);
    assertTakenOver(result, BEGIN_S);
    // Workers that try both silent controllers one after the other lose their leases, so their tasks start again.
    assert.ok(tasksRunningAt(result, BEGIN_S + DOWN_S) >= 10);
  });
});

for (const frozenS of [5, 12, 20]) {
  test(`no task is killed when the leader freezes for ${frozenS} s, and then its successor`, async () => {
    const freeze = { kind: 'controller-freeze', controllers: 'leader', forS: frozenS } as const;
    const secondFreezeS = BEGIN_S + frozenS + 15;
    const faults: Fault[] = [
      { ...freeze, atS: BEGIN_S },
      { ...freeze, atS: secondFreezeS },
    ];
    const endS = secondFreezeS + frozenS + 30;
    await runScenarioWithSeeds(
      steadyScenario('leaders stand still', endS, faults),
      [1, 2, 3],
      (result) => {
        for (const { fromS } of result.faults.of('controller-freeze'))
          assertTakenOver(result, fromS);
        assertWorkKept(result, endS);
      },
    );
  });
}

test('no task is killed when the successor of a silent leader freezes while the silent one is still away', async () => {
  const faults: Fault[] = [
    ...powerOffFaults('leader'),
    { kind: 'controller-freeze', atS: BEGIN_S + 25, controllers: 'leader', forS: 20 },
  ];
  const endS = BEGIN_S + DOWN_S + 30;
  const scenario = steadyScenario('frozen beside a silent one', endS, faults);
  await runScenarioWithSeeds(scenario, [1, 2, 3, 4], (result) => {
    const [cut] = result.faults.of('controller-cut');
    const [freeze] = result.faults.of('controller-freeze');
    assert.notEqual(freeze.leader!.leader, cut.leader!.leader);
    assert.ok(freeze.untilS < cut.untilS);
    assertTakenOver(result, freeze.fromS);
    assertWorkKept(result, endS);
  });
});

test('no task is killed when a successor freezes while it takes over from a leader that crashed', async () => {
  const frozenS = 6;
  const faults: Fault[] = [
    { kind: 'controller-crash', atS: BEGIN_S, controllers: 'leader', downS: frozenS },
    {
      kind: 'controller-freeze',
      atS: BEGIN_S,
      afterTakeoverS: 0.2,
      controllers: 'leader',
      forS: frozenS,
    },
  ];
  const endS = BEGIN_S + 40;
  await runScenarioWithSeeds(
    steadyScenario('frozen take-over', endS, faults),
    [1, 2, 3],
    (result) => {
      const [crash] = result.faults.of('controller-crash');
      const [freeze] = result.faults.of('controller-freeze');
      assert.notEqual(freeze.leader!.leader, crash.leader!.leader);
      assert.ok(freeze.leader!.term > crash.leader!.term);
      assertTakenOver(result, freeze.fromS);
      assertWorkKept(result, endS);
    },
  );
});
