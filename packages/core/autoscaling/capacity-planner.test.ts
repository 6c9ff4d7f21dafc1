import assert from 'node:assert/strict';
import { test } from 'node:test';
import { aFleet, aJob, aMachine, STD } from '../../testing/samples.js';
import { CapacityPlanner } from './capacity-planner.js';
import { NO_QUOTA } from '../fair-share/team-quota.js';

const TEAMS = new Map([['red', NO_QUOTA]]);
const OBJECTIVES = [{ class: 'c', kind: 'wait', withinS: 4 }];
const SETTINGS = { reserveSigmas: 0, idleHoldS: 60, memoryS: 120 };

function createPlanner(fleet = aFleet()): CapacityPlanner {
  return new CapacityPlanner({ fleet, settings: SETTINGS, objectives: OBJECTIVES, teams: TEAMS });
}

function provisionedCount(planner: CapacityPlanner, now: number): number {
  return planner.plan(now).scaleOut.reduce((sum, r) => sum + r.count, 0);
}

test('capacity is provisioned ahead only for replicas that arrive faster than they end', () => {
  // Guards against a growing fleet that is always one boot behind: the reserve covered only the deviation
  // of arrivals, so that in the first minutes replicas waited for a boot each time.
  const service = aJob({ kind: 'service', tasks: 2 });
  const growing = createPlanner();
  for (let t = 0; t < 120; t++) growing.jobArrived(service, t);
  const steady = createPlanner();
  for (let t = 0; t < 120; t++) {
    steady.jobArrived(service, t);
    steady.jobEnded(service, t);
  }
  const batch = createPlanner();
  for (let t = 0; t < 120; t++) batch.jobArrived(aJob({ tasks: 2 }), t);
  assert.ok(provisionedCount(growing, 120) > 10);
  assert.equal(provisionedCount(steady, 120), 0);
  assert.equal(provisionedCount(batch, 120), 0);
  // A new leader does not know which jobs have ended, and must not take all recorded jobs for growth.
  growing.assumeSteadyState(120);
  assert.equal(provisionedCount(growing, 120), 0);
});

test('the reserve of a class shrinks soon after its last job', () => {
  // Guards against a fleet that is kept for minutes after the last job because averages decay slowly.
  const planner = new CapacityPlanner({
    fleet: aFleet(),
    settings: { ...SETTINGS, reserveSigmas: 2 },
    objectives: OBJECTIVES,
    teams: TEAMS,
  });
  for (let t = 0; t < 240; t++) planner.jobArrived(aJob(), t);
  const during = provisionedCount(planner, 240);
  assert.ok(during >= 3);
  assert.ok(provisionedCount(planner, 240 + STD.bootS) <= during / 2);
});

test('an empty machine is held for a shorter time once no more jobs arrive', () => {
  // Guards against gangs that wait for a boot because whole machines were scaled in between two gangs, and
  // against machines that are kept without need after the last job.
  const scaleInCounts = (lastJobAt: number) => {
    const fleet = aFleet();
    const planner = createPlanner(fleet);
    planner.jobArrived(aJob(), lastJobAt);
    aMachine(fleet, 'n-1');
    return [25, 45, 65].map((t) => planner.plan(t).scaleIn.length);
  };
  assert.deepEqual(scaleInCounts(24), [0, 0, 1]);
  assert.deepEqual(scaleInCounts(0), [0, 1, 1]);
});

test('a machine that boots late compared with recent boots is replaced', () => {
  // Guards against replicas that wait minutes for a machine that comes late or never, and against
  // provisioning every machine twice when all boots take longer.
  const provisionedCounts = (boots: number[]) => {
    const fleet = aFleet();
    const planner = createPlanner(fleet);
    boots.forEach((bootS, i) =>
      planner.machineUp(aMachine(fleet, `n-${i}`, { requestedAt: -bootS }), 0),
    );
    for (const { name } of [...fleet.machines.values()]) fleet.removeMachine(name, 0);
    fleet.machines.register(
      { name: 'n-90', addr: '', type: 'std', zone: 'a', spot: false },
      'booting',
      0,
    );
    fleet.addJob(aJob(), 0, 'accepted', 0);
    return [STD.bootS, 1.5 * STD.bootS, 3 * STD.bootS].map((age) => provisionedCount(planner, age));
  };
  assert.deepEqual(provisionedCounts([30, 31, 29, 120]), [0, 1, 1]);
  assert.deepEqual(provisionedCounts([45, 50, 44, 48]), [0, 0, 1]);
});
