import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobToWire, parseJob } from '#wire';
import { SeededRandom } from '../../random.js';
import { DEFAULT_CLASSES } from './job-class.js';
import { makeWorkload } from './workload.js';

const TEAMS = ['red', 'blue'];
const LENGTH_S = 6000;

function makeTestWorkload(seed: number, intensity = 1) {
  const chance = new SeededRandom(seed);
  const options = { classes: DEFAULT_CLASSES, teams: TEAMS, lengthS: LENGTH_S, intensity };
  return makeWorkload(() => chance.next(), options);
}

test('the same seed gives the same workload, and another seed a different one', () => {
  assert.deepEqual(makeTestWorkload(1), makeTestWorkload(1));
  assert.notDeepEqual(makeTestWorkload(1), makeTestWorkload(2));
});

test('all jobs are well formed, have unique ids and are sorted by submission time', () => {
  const plan = makeTestWorkload(3);
  const ids = plan.map(({ program }) => program.job.id);
  assert.equal(new Set(ids).size, ids.length);
  assert.notDeepEqual(ids, [...ids].sort());
  for (const [index, { program, submitAtS }] of plan.entries()) {
    assert.deepEqual(parseJob(jobToWire(program.job)), program.job);
    assert.ok(submitAtS < LENGTH_S && submitAtS >= (plan[index - 1]?.submitAtS ?? 0));
    assert.equal(program.runS.length, program.job.tasks);
  }
});

for (const jobClass of DEFAULT_CLASSES) {
  const name = jobClass.template.class;
  test(`${name}: rates, sizes, run times and cancellations match the class`, () => {
    const plan = makeTestWorkload(4, 2).filter(({ program }) => program.job.class === name);
    const { arrivals, run, tasks, cancelledShare } = jobClass;
    const expected =
      (arrivals.perMinute * 2 * LENGTH_S * (arrivals.together[0] + arrivals.together[1])) / 120;
    assert.ok(Math.abs(plan.length / expected - 1) < 0.25, `${plan.length} of ${expected}`);
    const isService = jobClass.template.kind === 'service';
    const times = plan
      .flatMap(({ program, cancelAfterS }) => (isService ? [cancelAfterS!] : program.runS))
      .sort((first, second) => first - second);
    const at = (share: number) => times[Math.floor(times.length * share)];
    assert.ok(Math.abs(at(0.5) / run.medianS - 1) < 0.2);
    assert.ok(Math.abs(at(0.95) / Math.min(run.p95S, run.maxS) - 1) < 0.25);
    assert.ok(times.at(-1)! <= run.maxS);
    const sizes = plan.map(({ program }) => program.job.tasks);
    assert.deepEqual([Math.min(...sizes), Math.max(...sizes)], tasks);
    const cancelled = plan.filter(({ cancelAfterS }) => cancelAfterS !== null).length / plan.length;
    assert.ok(Math.abs(cancelled - (isService ? 1 : cancelledShare)) < 0.06);
  });
}
