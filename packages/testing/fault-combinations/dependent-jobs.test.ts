/**
 * Guards against dependent jobs that start too early, never start, or are not aborted with a dependency, when
 * cancellations, lost or late transactions and restarts coincide with the ends of the jobs they need.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Fault, ScenarioResult } from '../simulation/index.js';
import {
  cancelledDependencies,
  dependentJobs,
  countDependentJobs,
  prematureStarts,
} from './dependency-queries.js';
import { dependentJobsScenario } from './dependent-work.js';
import { runScenarioWithSeeds } from './run-queries.js';
import { BUSY_FROM_S } from './steady-work.js';

const BEGIN_S = BUSY_FROM_S;
const LENGTH_S = 200;

/** Jobs whose cancellation was requested after their last task had completed, by the phase that users were told. */
function cancelledAtEnd({ timeline }: ScenarioResult): { done: string[]; cancelled: string[] } {
  const askedAt = new Map(timeline.of('cancel-asked').map(({ job, atS }) => [job, atS]));
  const endedAt = new Map(timeline.of('task-completed').map(({ job, atS }) => [job, atS]));
  const jobs = new Map(timeline.of('job-submitted').map(({ id, job }) => [id, job]));
  const jobsAnswered = (phase: string) => {
    const answers = timeline.of('answered').filter((each) => each.request.kind === 'abort');
    const ids = answers.filter((each) => each.phase === phase).map(({ request }) => request.job);
    return [...new Set(ids)].filter((id) => {
      const completed = timeline.of('task-completed').filter(({ job }) => job === id).length;
      const isComplete = completed === jobs.get(id)?.tasks;
      return isComplete && (askedAt.get(id) ?? -1) >= (endedAt.get(id) ?? Infinity);
    });
  };
  return { done: jobsAnswered('done'), cancelled: jobsAnswered('aborted') };
}

/** Asserts that enough dependent jobs were done, some were aborted with a dependency, and none started too early. */
function assertPipelinesServed(result: ScenarioResult, minDone = 20): void {
  const { done, cancelledByDependency } = countDependentJobs(result);
  assert.ok(done >= minDone, `${done} dependent jobs were done`);
  assert.ok(
    cancelledByDependency >= 3,
    `${cancelledByDependency} jobs were aborted with a dependency`,
  );
  assert.deepEqual(prematureStarts(result), []);
}

test('pipelines run while users poll closely, cancel jobs of all stages and cancel jobs at the moment of their end', async () => {
  const faults: Fault[] = [
    { kind: 'close-looks', atS: 20, forS: 130 },
    { kind: 'cancel-at-end', atS: 40, forS: 80, share: 0.25 },
    { kind: 'odd-requests', atS: 30, forS: 60 },
  ];
  await runScenarioWithSeeds(
    dependentJobsScenario('chained', LENGTH_S, faults),
    [1, 2],
    (result) => {
      assertPipelinesServed(result);
      const cancelled = cancelledDependencies(result, 0, LENGTH_S);
      assert.ok(cancelled.length >= 5, `${cancelled.length} dependencies were cancelled`);
      const cancelledLate = cancelledAtEnd(result);
      assert.ok(
        cancelledLate.cancelled.length >= 3,
        `${cancelledLate.cancelled.length} were cancelled with all tasks done`,
      );
      assert.ok(
        cancelledLate.done.length >= 1,
        `${cancelledLate.done.length} cancellations came after the end`,
      );
    },
  );
});

test('pipelines run when transactions that record the end of dependencies get no answer or are late while leaders fail', async () => {
  const faults: Fault[] = [
    { kind: 'close-looks', atS: BEGIN_S - 20, forS: 80 },
    { kind: 'lost-answers', atS: BEGIN_S - 10, forS: 9, share: 0.6 },
    { kind: 'late-writes', atS: BEGIN_S, forS: 12, share: 0.5, delayS: [1, 6] },
    { kind: 'controller-crash', atS: BEGIN_S + 5, controllers: 'leader', downS: 0.3 },
    { kind: 'late-writes', atS: BEGIN_S + 15, forS: 10, share: 0.5, delayS: [2, 8] },
    { kind: 'controller-freeze', atS: BEGIN_S + 20, forS: 8, controllers: 'leader' },
    { kind: 'cancel-at-end', atS: BEGIN_S - 10, forS: 50, share: 0.2 },
  ];
  await runScenarioWithSeeds(
    dependentJobsScenario('ends lost or late', LENGTH_S, faults),
    [1, 2],
    (result) => {
      assertPipelinesServed(result);
      const needed = new Set(dependentJobs(result).flatMap(({ awaits }) => [...awaits]));
      const unanswered = result.timeline.of('transaction').filter(({ answered }) => !answered);
      const ends = unanswered
        .flatMap(({ changes }) => changes)
        .filter((change) => {
          if (!('put' in change) || !change.put.startsWith('jobs/')) return false;
          const { phase } = change.value as { phase: string };
          return phase === 'done' && needed.has(change.put.slice('jobs/'.length));
        });
      assert.ok(ends.length >= 2, `${ends.length} recorded ends of dependencies got no answer`);
      const [crash] = result.faults.of('controller-crash');
      assert.ok(result.leaders.some(({ term }) => term > crash.leader!.term));
    },
  );
});

test('pipelines continue after all controllers restart twice within a lease', async () => {
  const faults: Fault[] = [
    { kind: 'close-looks', atS: BEGIN_S - 5, forS: 60 },
    { kind: 'controller-crash', atS: BEGIN_S, controllers: 'all', downS: 2 },
    { kind: 'cancel-now', atS: BEGIN_S + 4, count: 6 },
    { kind: 'controller-crash', atS: BEGIN_S + 7, controllers: 'all', downS: 1 },
    { kind: 'zone-cut', atS: BEGIN_S + 30, forS: 15, zone: 'a', mode: 'hold' },
  ];
  await runScenarioWithSeeds(
    dependentJobsScenario('all restart', LENGTH_S, faults),
    [1, 2],
    (result) => {
      const crashes = result.faults.of('controller-crash');
      assert.equal(crashes.length, 2);
      const before = countDependentJobs(result, 0, BEGIN_S).done;
      const after = countDependentJobs(result, BEGIN_S + 10).done;
      assert.ok(before >= 3 && after >= 10, `${before} before, ${after} after`);
    },
  );
});
