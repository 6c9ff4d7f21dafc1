import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeFleet, makeJob, registerMachine } from '../../testing/samples.js';
import { CapacityPlanner } from './capacity-planner.js';
import { NO_QUOTA } from '../fair-share/team-quota.js';

const TEAMS = new Map([['red', NO_QUOTA]]);
const OBJECTIVES = [{ class: 'c', kind: 'wait', withinS: 4 }];
const SETTINGS = { reserveSigmas: 0, idleHoldS: 60, memoryS: 120 };

function createPlanner(fleet = makeFleet()): CapacityPlanner {
  return new CapacityPlanner({ fleet, settings: SETTINGS, objectives: OBJECTIVES, teams: TEAMS });
}

test('a machine is emptied only if its replicas find capacity on machines that have their image', () => {
  // Guards against a fleet that ends up with many machines of one replica each, against moves to machines
  // where replicas wait for their image, and against moves into capacity that waiting tasks need.
  const planConsolidation = (image: string, waiting: number, ranS: number) => {
    const fleet = makeFleet();
    const machines = ['n-1', 'n-2'].map((name) => registerMachine(fleet, name));
    const job = fleet.addJob(makeJob({ kind: 'service', tasks: 3 }), 0, 'accepted', 0);
    [0, 0, 1].forEach((at, i) => {
      const assignment = fleet.assignments.assign(
        job,
        i,
        machines[at],
        fleet.assignments.newAttempt(),
        0,
      );
      Object.assign(assignment, {
        startSent: true,
        recorded: true,
        reportedState: 'running',
        runningSince: 0,
      });
    });
    machines[0].images = new Map([[image, 5]]);
    fleet.addJob(makeJob({ id: 'j-2', tasks: waiting }), 0, 'accepted', 0);
    const { consolidation } = createPlanner(fleet).plan(ranS);
    if (consolidation === null) return null;
    return [consolidation.machine.name, ...consolidation.moves.map(({ to }) => to.name)];
  };
  assert.deepEqual(planConsolidation('i', 1, 60), ['n-2', 'n-1']);
  assert.equal(planConsolidation('other', 1, 60), null);
  assert.equal(planConsolidation('i', 2, 60), null);
  assert.equal(planConsolidation('i', 1, 5), null);
});
