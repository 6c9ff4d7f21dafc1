/**
 * Guards against dependent jobs that start before their dependencies are recorded as done, or that are not aborted
 * with a cancelled dependency: in an outage, across teams, and in a long chain.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ClusterSettings, Fault, ScenarioResult } from '../simulation/index.js';
import { dependentJobs, countDependentJobs, prematureStarts } from './dependency-queries.js';
import { dependentJobsScenario, chainStages, DIAMOND } from './dependent-work.js';
import { runScenarioWithSeeds } from './run-queries.js';
import { BUSY_FROM_S, CANCEL_S } from './steady-work.js';

const BEGIN_S = BUSY_FROM_S;

test('pipelines are done or aborted when the leader alone is refused and then an outage outlasts the limit of cancellations', async () => {
  const outageS = CANCEL_S + 10;
  const faults: Fault[] = [
    { kind: 'close-looks', atS: BEGIN_S - 5, forS: 100 },
    { kind: 'state-refuses', atS: BEGIN_S, controllers: 'leader', forS: 14 },
    { kind: 'cancel-now', atS: BEGIN_S + 1, count: 12 },
    { kind: 'state-outage', atS: BEGIN_S + 3, forS: outageS },
  ];
  const scenario = dependentJobsScenario('refused, outage', BEGIN_S + outageS + 130, faults, {
    pipeline: { cancelledShare: 0.6, arrivals: { perMinute: 40, together: [1, 1] } },
  });
  await runScenarioWithSeeds(scenario, [1, 2], (result) => {
    const [outage] = result.faults.of('state-outage');
    assert.ok(outage.untilS - outage.fromS > CANCEL_S);
    const { done, cancelledByDependency } = countDependentJobs(result);
    assert.ok(
      done >= 20 && cancelledByDependency >= 3,
      `${done} done, ${cancelledByDependency} aborted`,
    );
    assert.deepEqual(prematureStarts(result), []);
  });
});

/** Reduces the share and the limit of each team, so that teams soon reach the limit. */
function withSmallTeams(cluster: ClusterSettings): ClusterSettings {
  const { deployment } = cluster;
  const teams = deployment.teams.map((team) => ({ ...team, cpus: 8, cpus_max: 64 }));
  return { ...cluster, deployment: { ...deployment, teams } };
}

/** Pairs of a job and a dependency of it that belongs to another team. */
function dependenciesAcrossTeams(result: ScenarioResult): [string, string][] {
  const teams = new Map(result.timeline.of('job-submitted').map(({ id, job }) => [id, job.team]));
  return dependentJobs(result).flatMap(({ id, team, awaits }) =>
    awaits.filter((each) => teams.get(each) !== team).map((each): [string, string] => [id, each]),
  );
}

test('jobs run that depend on a team at its limit, and jobs that depend on failing jobs are aborted with them', async () => {
  const stages = DIAMOND.stages.map((stage, number) =>
    number === 1 ? { ...stage, jobClass: { ...stage.jobClass, mistakenShare: 0.2 } } : stage,
  );
  const scenario = dependentJobsScenario('teams', 320, [], {
    cluster: withSmallTeams,
    pipeline: { stages, mixesTeams: true, cancelledShare: 0, lateShare: 0 },
  });
  await runScenarioWithSeeds(scenario, [1, 2], (result) => {
    const { done, cancelledByDependency } = countDependentJobs(result);
    assert.ok(dependenciesAcrossTeams(result).length >= 30, 'too few dependencies across teams');
    assert.ok(done >= 30, `${done} dependent jobs were done`);
    // Users cancelled only jobs whose tasks fail on every machine.
    assert.ok(
      cancelledByDependency >= 3,
      `${cancelledByDependency} jobs were aborted with a dependency`,
    );
    assert.deepEqual(prematureStarts(result), []);
  });
});

test('a chain of a hundred jobs runs to its end, and a cancellation in the middle aborts all later jobs', async () => {
  const shortRuns = {
    tasks: [1, 1] as [number, number],
    run: { medianS: 0.5, p95S: 0.6, maxS: 0.7 },
  };
  const stages = chainStages(100).map(({ jobClass, ...stage }) => ({
    ...stage,
    jobClass: { ...jobClass, ...shortRuns },
  }));
  const arrivals = { perMinute: 0, together: [1, 1] as [number, number], atStart: 6 };
  const pipeline = {
    stages,
    arrivals,
    fromS: 20,
    lateShare: 0,
    cancelledShare: 0.5,
    deadlineS: 300,
  };
  const scenario = dependentJobsScenario('chain of a hundred', 480, [], { pipeline });
  const pipelinesOnly = {
    ...scenario,
    workload: { ...scenario.workload, classes: [], intensity: 1 },
  };
  await runScenarioWithSeeds(pipelinesOnly, [1], (result) => {
    const { done, cancelledByDependency } = countDependentJobs(result);
    assert.ok(done >= 200, `${done} dependent jobs were done`);
    assert.ok(
      cancelledByDependency >= 20,
      `${cancelledByDependency} were aborted with a dependency`,
    );
    assert.deepEqual(prematureStarts(result), []);
  });
});
