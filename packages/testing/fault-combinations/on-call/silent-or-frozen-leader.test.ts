import assert from 'node:assert/strict';
import { test } from 'node:test';
import { killedTasks, playMeeting, heartbeatsAnswered, tasksRunningAt } from '../run-queries.js';
import { BUSY_FROM_S, LEASE_S, steadyScenario } from '../steady-work.js';
import type { ControllerTarget, Fault, ScenarioResult } from '../../simulation/index.js';

const BEGIN_S = BUSY_FROM_S;
const DOWN_S = 80;

/** A machine without power: its process is gone, and connections to it hang without an error. */
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

/** Asserts that somebody else led before a lease of the leader's workers could run out. */
function assertTakenOver({ leaders }: ScenarioResult, atS: number): void {
  const successor = leaders.find((leader) => leader.atS > atS);
  assert.ok(successor && successor.atS < atS + LEASE_S / 2, `nobody took over at ${atS} s`);
}

function assertWorkKept(result: ScenarioResult, untilS: number): void {
  assert.ok(tasksRunningAt(result, BEGIN_S) >= 10, 'little ran');
  assert.deepEqual(killedTasks(result, BEGIN_S, untilS), []);
}

test('work lives though a silent leader stays away for over a minute, and its way back disturbs nothing', async () => {
  const endS = BEGIN_S + DOWN_S + 30;
  await playMeeting(
    steadyScenario('silent leader', endS, powerOffFaults('leader')),
    [1, 2, 3],
    (result) => {
      const [crash] = result.faults.of('controller-crash');
      assertTakenOver(result, crash.fromS);
      const answered = heartbeatsAnswered(result, crash.leader!.leader, BEGIN_S, BEGIN_S + DOWN_S);
      assert.equal(answered, 0, 'the leader was not silent');
      // One change of leader: the way back brings about no other.
      assert.equal(result.leaders.filter(({ atS }) => atS > BEGIN_S).length, 1);
      assertWorkKept(result, endS);
    },
  );
});

test('work goes on though the leader and a follower are silent for over a minute', async () => {
  const faults = [...powerOffFaults('leader'), ...powerOffFaults('one-follower')];
  const endS = BEGIN_S + DOWN_S + 30;
  await playMeeting(steadyScenario('two silent', endS, faults), [1, 2, 3], (result) => {
    assert.equal(result.faults.of('controller-crash').length, 2);
    assertTakenOver(result, BEGIN_S);
    // Workers that try the two one after the other lose their leases, so what they held begins anew.
    assert.ok(tasksRunningAt(result, BEGIN_S + DOWN_S) >= 10);
  });
});

for (const frozenS of [5, 12, 20]) {
  test(`work lives though the leader stands still for ${frozenS} s, and then its successor`, async () => {
    const freeze = { kind: 'controller-freeze', controllers: 'leader', forS: frozenS } as const;
    const secondFreezeS = BEGIN_S + frozenS + 15;
    const faults: Fault[] = [
      { ...freeze, atS: BEGIN_S },
      { ...freeze, atS: secondFreezeS },
    ];
    const endS = secondFreezeS + frozenS + 30;
    await playMeeting(steadyScenario('leaders stand still', endS, faults), [1, 2, 3], (result) => {
      for (const { fromS } of result.faults.of('controller-freeze')) assertTakenOver(result, fromS);
      assertWorkKept(result, endS);
    });
  });
}

test('work lives though the successor of a silent leader stands still while the silent one is still away', async () => {
  const faults: Fault[] = [
    ...powerOffFaults('leader'),
    { kind: 'controller-freeze', atS: BEGIN_S + 25, controllers: 'leader', forS: 20 },
  ];
  const endS = BEGIN_S + DOWN_S + 30;
  const scenario = steadyScenario('frozen beside a silent one', endS, faults);
  await playMeeting(scenario, [1, 2, 3, 4], (result) => {
    const [cut] = result.faults.of('controller-cut');
    const [freeze] = result.faults.of('controller-freeze');
    assert.notEqual(freeze.leader!.leader, cut.leader!.leader);
    assert.ok(freeze.untilS < cut.untilS);
    assertTakenOver(result, freeze.fromS);
    assertWorkKept(result, endS);
  });
});

test('work lives though a successor stands still while it takes over from a leader that crashed', async () => {
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
  await playMeeting(steadyScenario('frozen take-over', endS, faults), [1, 2, 3], (result) => {
    const [crash] = result.faults.of('controller-crash');
    const [freeze] = result.faults.of('controller-freeze');
    assert.notEqual(freeze.leader!.leader, crash.leader!.leader);
    assert.ok(freeze.leader!.term > crash.leader!.term);
    assertTakenOver(result, freeze.fromS);
    assertWorkKept(result, endS);
  });
});
