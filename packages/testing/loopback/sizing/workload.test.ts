import assert from 'node:assert/strict';
import { test } from 'node:test';
import { machineType } from './machine-type.js';
import { JOBS_PER_MACHINE_MINUTE, planSizingWorkload } from './workload.js';

const MACHINES = 101;
const LENGTH_S = 1200;

const plan = planSizingWorkload({
  machines: MACHINES,
  teams: ['a', 'b'],
  jobsPerMinute: MACHINES * JOBS_PER_MACHINE_MINUTE,
  lengthS: LENGTH_S,
});
const type = machineType(['z']);

test('there is one anchor task for each machine; two do not fit on a machine, and none is cancelled', () => {
  const anchors = plan.filter(({ program }) => program.job.class === 'anchor');
  const tasks = anchors.reduce((sum, { program }) => sum + program.job.tasks, 0);
  assert.equal(tasks, MACHINES);
  for (const { program, cancelAfterS } of anchors) {
    assert.ok(program.job.memory > type.memory / 2);
    assert.equal(cancelAfterS, null);
  }
});

test('short jobs use most of the GPU time that anchors leave, but not all of it', () => {
  const others = plan.filter(({ program }) => program.job.class !== 'anchor');
  const gpuSeconds = others.reduce((sum, { program, cancelAfterS, submitAtS }) => {
    const { gpus, tasks } = program.job;
    const runS = program.runS.map((each) => Math.min(each, LENGTH_S - submitAtS));
    const usedS = cancelAfterS === null ? runS.reduce((a, b) => a + b) : cancelAfterS * tasks;
    return sum + gpus * usedS;
  }, 0);
  const left = MACHINES * (type.gpus - 4) * LENGTH_S;
  assert.ok(gpuSeconds > 0.6 * left && gpuSeconds < 0.95 * left, String(gpuSeconds / left));
});

test('all job ids are different', () => {
  assert.equal(new Set(plan.map(({ program }) => program.job.id)).size, plan.length);
});
