/**
 * Guards against faulty jobs, whose tasks fail on every machine until their users cancel them, that are retried without
 * limit, delay sound jobs or cause scale-outs.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  describeProblems,
  runScenario,
  SMALL_CLUSTER,
  type Fault,
  type Scenario,
  type ScenarioResult,
} from '../simulation/index.js';
import { DEFAULT_CLASSES, type JobClass } from '../stand-ins/index.js';
import { runScenarioWithSeeds } from './run-queries.js';
import { CANCEL_S } from './steady-work.js';

const LENGTH_S = 300;
const CRASH_S = 100;
const ARRIVALS_END_S = 160;
/** A scale-out decided before a job became suspect may complete so many seconds later. */
const PROVISION_DELAY_S = 3;
/** Most successive attempts (probes) of a suspect job in any of these runs, and the tasks in each. */
const MAX_PROBES = 9;
const PROBE_TASKS = 2;
/** Seconds by which faulty jobs may increase the mean wait of sound jobs. */
const MAX_ADDED_WAIT_S = 1;

/** A cluster with room for all jobs that are not suspect. */
const CLUSTER = { ...SMALL_CLUSTER, capacity: [{ machines: 30 }] };

const [REPLICAS, BATCHES, , GANGS] = DEFAULT_CLASSES;
const SOUND_CLASSES = DEFAULT_CLASSES.map((jobClass) => ({ ...jobClass, mistakenShare: 0 }));
const FAULTY = /^faulty/;

/** Makes a job class whose tasks fail long before they could complete or save a checkpoint. */
function makeFaulty(jobClass: JobClass, perMinute: number): JobClass {
  const { template } = jobClass;
  return {
    ...jobClass,
    template: {
      ...template,
      class: `faulty-${template.kind}`,
      gpus: Math.max(1, template.gpus),
      checkpointS: 0,
      saveS: 0,
    },
    arrivals: { perMinute, together: [1, 2] },
    run: { medianS: 60, p95S: 80, maxS: 100 },
    mistakenShare: 1,
  };
}

const FAULTY_CLASSES = [makeFaulty(BATCHES, 3), makeFaulty(GANGS, 3)];
const FAULTY_SERVICES = makeFaulty(REPLICAS, 1);
const LEADER_CRASH: Fault = {
  kind: 'controller-crash',
  atS: CRASH_S,
  controllers: 'leader',
  downS: 6,
};

function makeScenario(classes: JobClass[], faults: Fault[]): Scenario {
  const workload = { classes, untilS: ARRIVALS_END_S };
  return { name: 'faulty jobs', cluster: CLUSTER, workload, faults, lengthS: LENGTH_S };
}

function faultyJobs({ timeline }: ScenarioResult) {
  return timeline.of('job-submitted').filter(({ job }) => FAULTY.test(job.class));
}

/** Asserts that faulty jobs failed many times, on several machines, and were cancelled. */
function assertFaultyJobsFailed(result: ScenarioResult): void {
  const ids = new Set(faultyJobs(result).map(({ id }) => id));
  assert.ok(ids.size >= 6, `${ids.size} faulty jobs`);
  const failed = result.timeline
    .of('task-left')
    .filter(({ task, cause }) => cause === 'error' && ids.has(task.job));
  assert.ok(failed.length > 40, `${failed.length} failed attempts`);
  const machines = new Set(failed.map(({ machine }) => machine));
  assert.ok(machines.size >= 4, `on ${machines.size} machines`);
  const cancelled = result.timeline.of('answered').filter(({ phase }) => phase === 'aborted');
  assert.ok(cancelled.filter(({ request }) => ids.has(request.job)).length >= 6);
}

/**
 * Asserts that a faulty job starts in full at most twice per term and from then on a few tasks at a time. A new leader
 * does not know that the job is faulty, and a gang becomes suspect only with its second attempt.
 */
function assertAttemptsBounded(result: ScenarioResult, terms: number): void {
  for (const { id, job } of faultyJobs(result)) {
    const starts = result.timeline.of('task-assigned').filter(({ task }) => task.job === id).length;
    const probe = job.kind === 'gang' ? job.tasks : PROBE_TASKS;
    const maxStarts = terms * 2 * job.tasks + MAX_PROBES * probe;
    assert.ok(starts <= maxStarts, `${id}: ${starts} starts of ${job.tasks} tasks`);
  }
}

/** Times of scale-outs at which every faulty job was known to be suspect or had ended. */
function avoidableScaleOuts(result: ScenarioResult, type: string): number[] {
  const known = result.controllers.flatMap(({ log }) => log.entries('job is crash-looping'));
  const activeSpans = faultyJobs(result).map(({ id, atS }) => ({
    id,
    atS,
    untilS: cancelledAt(result, id),
  }));
  const scaleOuts = result.controllers.flatMap(({ log }) => log.entries('scale-out completed'));
  return scaleOuts
    .filter((provision) => provision.type === type)
    .map(({ atS }) => atS)
    .filter((provisionedAt) => {
      const termAt = Math.max(
        ...result.leaders.map(({ atS }) => atS).filter((t) => t <= provisionedAt),
      );
      const isKnown = (id: string) =>
        known.some(
          ({ job, atS }) => job === id && atS >= termAt && atS < provisionedAt - PROVISION_DELAY_S,
        );
      return !activeSpans.some(
        ({ id, atS, untilS }) => atS <= provisionedAt && provisionedAt <= untilS && !isKnown(id),
      );
    });
}

function cancelledAt({ timeline }: ScenarioResult, id: string): number {
  const answer = timeline
    .of('answered')
    .find(({ request, phase }) => request.job === id && phase === 'aborted');
  return (answer?.atS ?? Infinity) + PROVISION_DELAY_S;
}

/** Mean time from the submission of sound jobs to the start of their first task. */
function meanWaitS({ timeline }: ScenarioResult): number {
  const started = new Map<string, number>();
  for (const { task, atS } of timeline.of('task-started')) {
    if (!started.has(task.job)) started.set(task.job, atS);
  }
  const sound = timeline.of('job-submitted').filter(({ job }) => !FAULTY.test(job.class));
  const waits = sound.map(({ id, atS }) => (started.get(id) ?? LENGTH_S) - atS);
  return waits.reduce((sum, wait) => sum + wait, 0) / waits.length;
}

for (const [when, faults] of [
  ['', []],
  [', also across a crash of the leader', [LEADER_CRASH]],
] as [string, Fault[]][]) {
  test(`faulty arrays and gangs start seldom and don't delay sound jobs${when}`, async () => {
    const mixed = makeScenario([...SOUND_CLASSES, ...FAULTY_CLASSES], faults);
    const addedWaitsS: number[] = [];
    await runScenarioWithSeeds(mixed, [1, 2, 4], async (result) => {
      assertFaultyJobsFailed(result);
      assertAttemptsBounded(result, faults.length + 1);
      const soundOnly = await runScenario(makeScenario(SOUND_CLASSES, faults), result.seed);
      assert.deepEqual(describeProblems(soundOnly), []);
      addedWaitsS.push(meanWaitS(result) - meanWaitS(soundOnly));
    });
    const meanS = addedWaitsS.reduce((sum, each) => sum + each, 0) / addedWaitsS.length;
    assert.ok(meanS < MAX_ADDED_WAIT_S, `${meanS} s longer, by seed ${addedWaitsS}`);
  });

  test(`faulty arrays, gangs and services cause no scale-outs once they are suspect${when}`, async () => {
    const cpuClasses = SOUND_CLASSES.filter(({ template }) => template.gpus === 0);
    const cpuScenario = makeScenario([...cpuClasses, ...FAULTY_CLASSES, FAULTY_SERVICES], faults);
    await runScenarioWithSeeds(cpuScenario, [1, 2], (result) => {
      assertFaultyJobsFailed(result);
      assertAttemptsBounded(result, faults.length + 1);
      assert.deepEqual(avoidableScaleOuts(result, 'g8'), []);
      if (faults.length === 0) return;
      // The next leader has found the remaining faulty jobs to be suspect.
      const reported = result.controllers.flatMap(({ log }) => log.entries('job is crash-looping'));
      assert.ok(reported.some(({ atS }) => atS > CRASH_S && atS < CRASH_S + 3 * CANCEL_S));
    });
  });
}
