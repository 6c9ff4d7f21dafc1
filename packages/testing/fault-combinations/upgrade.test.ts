/**
 * Guards against killed tasks and malformed transactions when controllers are replaced one after another by a version
 * that knows the next, smaller limits of the state service, and these limits then come into force.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Controller } from '#controller';
import type { Change } from '#wire';
import { wireSize } from '#wire/serving';
import {
  controllerName,
  describeProblems,
  runScenario,
  type ClusterSettings,
  type ControllerMaker,
  type Fault,
  type ScenarioResult,
} from '../simulation/index.js';
import type { Arrivals, JobClass } from '../stand-ins/index.js';
import { countDependentJobs, prematureStarts } from './dependency-queries.js';
import { dependentJobsScenario, DIAMOND } from './dependent-work.js';
import { killedTasks } from './run-queries.js';

const UPGRADE_AT_S = 60;
const UPGRADE_INTERVAL_S = 8;
const UPGRADED_S = UPGRADE_AT_S + 3 * UPGRADE_INTERVAL_S;
const LIMITS_AT_S = UPGRADED_S + 10;
const PIPELINES_FROM_S = UPGRADED_S + 4;
const LENGTH_S = 260;
const NEXT_LIMITS = { value_kb: 1.5, txn_ops: 6, write_rps: 40 };

/** Adds the next limits of the state service to the settings of the cluster. */
function withNextLimits(cluster: ClusterSettings): ClusterSettings {
  const { deployment } = cluster;
  const state = { ...deployment.state, next: NEXT_LIMITS };
  return { ...cluster, deployment: { ...deployment, state } };
}

/**
 * Makes controllers of the older version until a controller reaches its given incarnation, and of the new version from
 * then on. The older version divides progress and fills records up to the limits in force. A controller that crashes
 * before its replacement restarts with the older version.
 */
function makeControllersByVersion(newFromIncarnation: number[]): ControllerMaker {
  const incarnations = new Map<string, number>();
  const newFrom = new Map(
    newFromIncarnation.map((incarnation, index) => [controllerName(index), incarnation]),
  );
  return (runtime, settings, log) => {
    const incarnation = (incarnations.get(settings.host_name) ?? 0) + 1;
    incarnations.set(settings.host_name, incarnation);
    if (incarnation >= newFrom.get(settings.host_name)!)
      return new Controller(runtime, settings, log);
    const state = { ...settings.deployment.state };
    delete state.next;
    const deployment = { ...settings.deployment, state };
    return new Controller(runtime, { ...settings, deployment }, log);
  };
}

/** The first controller crashes once before its replacement; then each controller is replaced in turn. */
const UPGRADE_FAULTS: Fault[] = [
  { kind: 'controller-crash', atS: 40, controllers: [0], downS: 1 },
  ...[0, 1, 2].map((index): Fault => {
    const atS = UPGRADE_AT_S + index * UPGRADE_INTERVAL_S;
    return { kind: 'controller-crash', atS, controllers: [index], downS: 3 };
  }),
  {
    kind: 'state-limits',
    atS: LIMITS_AT_S,
    limits: {
      valueKb: NEXT_LIMITS.value_kb,
      txnOps: NEXT_LIMITS.txn_ops,
      writeRps: NEXT_LIMITS.write_rps,
    },
  },
];
const ARRIVALS: Arrivals = { perMinute: 24, together: [1, 1] };
/** An array with so many tasks that its recorded progress exceeds the next limit of value sizes. */
const LARGE_ARRAY: JobClass = {
  ...DIAMOND.stages[0].jobClass,
  arrivals: { perMinute: 0, together: [1, 1], atStart: 2 },
  tasks: [20_000, 20_000],
  run: { medianS: 20, p95S: 30, maxS: 40 },
};
const NEW_FROM_INCARNATION = [3, 2, 2];

async function runUpgrade(
  name: string,
  extraFaults: Fault[],
  seed: number,
): Promise<ScenarioResult> {
  const faults = [...UPGRADE_FAULTS, ...extraFaults].sort((one, other) => one.atS - other.atS);
  const scenario = dependentJobsScenario(name, LENGTH_S, faults, {
    cluster: withNextLimits,
    pipeline: { fromS: PIPELINES_FROM_S, cancelledShare: 0.8, deadlineS: 25, arrivals: ARRIVALS },
  });
  const { workload } = scenario;
  const withLargeArray = {
    ...scenario,
    workload: { ...workload, classes: [...workload.classes, LARGE_ARRAY] },
  };
  const result = await runScenario(
    withLargeArray,
    seed,
    makeControllersByVersion(NEW_FROM_INCARNATION),
  );
  assert.deepEqual(describeProblems(result), [], `${name}, seed ${seed}`);
  assert.deepEqual(prematureStarts(result), []);
  const { done, cancelledByDependency } = countDependentJobs(result, PIPELINES_FROM_S);
  assert.ok(countOverNextLimits(result) > 0, 'no older version used the limits in force');
  assert.ok(
    done >= 10 && cancelledByDependency >= 1,
    `${done} done, ${cancelledByDependency} aborted`,
  );
  return result;
}

/** Counts transactions that ran before the next limits came into force and would have exceeded these limits. */
function countOverNextLimits({ timeline }: ScenarioResult): number {
  const isLarge = (change: Change) =>
    'put' in change && wireSize(change.value) > NEXT_LIMITS.value_kb * 1024;
  return timeline
    .of('transaction', 0, LIMITS_AT_S)
    .filter(({ changes }) => changes.length > NEXT_LIMITS.txn_ops || changes.some(isLarge)).length;
}

/** Log entries of leaders that stepped down because the state service refused a transaction as malformed. */
function malformedTransactions({ controllers }: ScenarioResult): string[] {
  const message = 'state transaction refused as malformed, leader steps down';
  const entries = controllers.flatMap(({ log }) => log.entries(message));
  return entries.map((entry) => JSON.stringify(entry));
}

test('no task is killed and no transaction refused as malformed in a rolling upgrade, then smaller limits without notice', async () => {
  for (const seed of [1, 2, 3]) {
    const result = await runUpgrade('upgrade', [], seed);
    assert.deepEqual(malformedTransactions(result), []);
    assert.deepEqual(killedTasks(result, 0, LENGTH_S), []);
  }
});

test('a rolling upgrade violates no rule during crashes, refusals by the state service, an outage and cancellations', async () => {
  const extraFaults: Fault[] = [
    { kind: 'cancel-now', atS: UPGRADE_AT_S + 2, count: 5 },
    { kind: 'late-writes', atS: UPGRADE_AT_S + 4, forS: 10, share: 0.3, delayS: [1, 6] },
    { kind: 'state-refuses', atS: UPGRADE_AT_S + 12, controllers: 'leader', forS: 8 },
    { kind: 'state-outage', atS: UPGRADE_AT_S + 22, forS: 6 },
    { kind: 'cancel-now', atS: UPGRADED_S + 12, count: 5 },
    { kind: 'controller-crash', atS: LIMITS_AT_S + 5, controllers: 'leader', downS: 1 },
    { kind: 'close-looks', atS: UPGRADED_S, forS: 60 },
  ];
  for (const seed of [1, 2, 3]) {
    const result = await runUpgrade('upgrade in trouble', extraFaults, seed);
    assert.deepEqual(malformedTransactions(result), []);
    assert.ok(result.leaders.length >= 3, `${result.leaders.length} leaders`);
  }
});
