import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_CLASSES } from '../stand-ins/index.js';
import {
  describeProblems,
  runScenario,
  SMALL_CLUSTER,
  type Fault,
  type Scenario,
} from './index.js';

function scenario(name: string, lengthS: number, faults: Fault[]): Scenario {
  const workload = { classes: DEFAULT_CLASSES, untilS: lengthS - 60 };
  return { name, cluster: SMALL_CLUSTER, workload, faults, lengthS };
}

test('without faults all jobs are accepted and no task is killed; the same seed gives the same run', async () => {
  const quiet = scenario('quiet', 240, []);
  const [first, second, other] = [
    await runScenario(quiet, 1),
    await runScenario(quiet, 1),
    await runScenario(quiet, 2),
  ];
  assert.deepEqual(describeProblems(first), []);
  assert.equal(first.leaders.length, 1);
  assert.equal(first.counts.jobsAccepted, first.counts.jobsSubmitted);
  assert.ok(first.counts.tasksCompleted > 50);
  assert.equal(first.counts.tasksKilled, 0);
  assert.equal(first.digest, second.digest);
  assert.deepEqual(first.timeline.events, second.timeline.events);
  assert.notEqual(first.digest, other.digest);
});

test('another controller leads within 12 s after the leader crashes, freezes or loses the state service', async () => {
  const cutFromState: Omit<Fault & { kind: 'controller-cut' }, 'atS' | 'forS'> = {
    kind: 'controller-cut',
    controllers: 'leader',
    from: ['state'],
    mode: 'drop',
  };
  const faults: Fault[] = [
    { kind: 'controller-crash', atS: 40, controllers: 'leader', downS: 0.4 },
    { kind: 'state-refuses', atS: 70, controllers: 'leader', forS: 12 },
    { ...cutFromState, atS: 100, forS: 12 },
    { kind: 'controller-freeze', atS: 130, controllers: 'leader', forS: 12 },
  ];
  const result = await runScenario(scenario('four leaders lost', 260, faults), 2);
  assert.deepEqual(describeProblems(result), []);
  const { leaders } = result;
  assert.equal(leaders.length, 1 + faults.length);
  for (const [index, { leader, fromS, controllers }] of result.faults.records.entries()) {
    assert.equal(leader, leaders[index]);
    assert.deepEqual(controllers, [leader?.leader]);
    const successor = leaders[index + 1];
    assert.ok(successor.atS > fromS && successor.atS < fromS + 12);
  }
});
