/** Guards against copies of start commands, executed and answered before, that begin an attempt again. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SMALL_CLUSTER, type Fault, type Scenario } from '../simulation/index.js';
import { DEFAULT_CLASSES, type JobClass } from '../stand-ins/index.js';
import {
  attemptsBegunAgain,
  copiesAfterCancellation,
  copiesAfterEnd,
  copiesAfterMove,
} from './repeated-starts.js';
import { runScenarioWithSeeds } from './run-queries.js';

const LENGTH_S = 200;
const COPIES_FROM_S = 20;
const COPIES_FOR_S = 120;
const [, BATCHES, , GANGS] = DEFAULT_CLASSES;

/** Makes a job class whose tasks mostly end within seconds: by failure, by completion, or by cancellation. */
function makeShort(jobClass: JobClass, name: string, mistakenShare: number): JobClass {
  const { template } = jobClass;
  return {
    ...jobClass,
    template: { ...template, class: name, imageGb: 0.5, checkpointS: 0, saveS: 0 },
    arrivals: { perMinute: 12, together: [1, 2] },
    run: { medianS: 3, p95S: 6, maxS: 9 },
    cancelledShare: 0.3,
    mistakenShare,
  };
}

const CLASSES = [
  makeShort(BATCHES, 'failing-batch', 1),
  makeShort(BATCHES, 'short-batch', 0),
  makeShort(GANGS, 'failing-gang', 0.5),
];
const EVERY_COMMAND_TWICE: Fault = {
  kind: 'repeated-commands',
  atS: COPIES_FROM_S,
  forS: COPIES_FOR_S,
  share: 1,
};

function scenarioWith(name: string, faults: Fault[]): Scenario {
  const cluster = { ...SMALL_CLUSTER, capacity: [{ machines: 10 }] };
  const workload = { classes: CLASSES, untilS: COPIES_FROM_S + COPIES_FOR_S };
  return { name, cluster, workload, faults: [EVERY_COMMAND_TWICE, ...faults], lengthS: LENGTH_S };
}

test('a copy of an answered start begins nothing again after its task failed, moved or was cancelled', async () => {
  await runScenarioWithSeeds(scenarioWith('repeated commands', []), [1, 2, 3], (result) => {
    const { events } = result.timeline;
    assert.deepEqual(attemptsBegunAgain(events), []);
    assert.ok(copiesAfterEnd(events).length >= 50, 'too few copies of ended attempts');
    assert.ok(copiesAfterMove(events).length >= 10, 'too few copies of tasks that moved');
    assert.ok(copiesAfterCancellation(events).length >= 3, 'too few copies of cancelled tasks');
  });
});

test('a copy of an answered start begins nothing again after its leader was away for less than a second', async () => {
  const crashes = [40, 55, 70, 85, 100, 115].map((atS): Fault => ({
    kind: 'controller-crash',
    atS,
    controllers: 'leader',
    downS: 0.6,
  }));
  await runScenarioWithSeeds(scenarioWith('leader back', crashes), [1, 2, 3], (result) => {
    const { events } = result.timeline;
    assert.deepEqual(attemptsBegunAgain(events), []);
    assert.ok(result.leaders.length > crashes.length);
    assert.ok(copiesAfterEnd(events).length >= 30, 'too few copies of ended attempts');
  });
});

test('a copy of an answered start begins nothing again after its machine hung or was cut off for less than a second', async () => {
  const hangs = [40, 50, 60, 70, 80, 90, 100, 110].flatMap((atS): Fault[] => [
    { kind: 'machine-hang', atS, forS: 0.8, machines: { share: 0.5 } },
    { kind: 'machine-cut', atS: atS + 5, forS: 0.8, machines: { share: 0.5 }, mode: 'hold' },
  ]);
  await runScenarioWithSeeds(scenarioWith('machine back', hangs), [1, 2, 3], (result) => {
    const { events } = result.timeline;
    assert.deepEqual(attemptsBegunAgain(events), []);
    assert.ok(copiesAfterEnd(events).length >= 50, 'too few copies of ended attempts');
  });
});
