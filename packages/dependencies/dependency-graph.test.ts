import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { PROPERTY_TEST_OPTIONS } from '../testing/generators.js';
import { DependencyGraph, type DependencyChange, type Outcome } from './dependency-graph.js';
import { combineUrgency, type Urgency } from './urgency.js';

interface SampleJob {
  id: string;
  dependencies: string[];
  ownUrgency: Urgency;
}

/** Jobs whose records are read one by one, as a controller reads them, and the graph that is built from them. */
class RecordedJobs {
  readonly jobs = new Map<string, SampleJob>();
  /** Outcomes from the jobs' own records, and of the jobs that the graph has reported as cancelled. */
  readonly outcomes = new Map<string, Outcome>();
  readonly startable: string[] = [];
  readonly urgencies = new Map<string, Urgency>();
  readonly graph = new DependencyGraph({
    outcomeOf: (id) => this.outcomes.get(id) ?? null,
    urgencyOf: (id) => (this.outcomes.has(id) ? null : (this.jobs.get(id)?.ownUrgency ?? null)),
  });

  accept(job: SampleJob): void {
    if (this.outcomes.has(job.id)) return;
    this.jobs.set(job.id, job);
    this.urgencies.set(job.id, this.graph.urgencyOf(job.id));
    this.apply(this.graph.recordAccepted(job.id, job.dependencies));
    this.urgencies.set(job.id, this.graph.urgencyOf(job.id));
  }

  end(id: string, outcome: Outcome): void {
    this.outcomes.set(id, outcome);
    this.apply(this.graph.recordEnded(id, outcome));
  }

  private apply(changes: DependencyChange[]): void {
    for (const change of changes) {
      if (change.kind === 'cancelled') this.outcomes.set(change.job, 'cancelled');
      else if (change.kind === 'startable') this.startable.push(change.job);
      else this.urgencies.set(change.job, change.urgency);
    }
  }
}

function newJob(id: string, dependencies: string[] = [], rank = 3, dueAtMs = Infinity): SampleJob {
  return { id, dependencies, ownUrgency: { rank, dueAtMs } };
}

/** Computes by recursion over all jobs whether a job is cancelled, to compare with the graph. */
function isCancelledByScan(
  jobs: Map<string, SampleJob>,
  outcomes: Map<string, Outcome>,
  id: string,
): boolean {
  if (outcomes.has(id)) return outcomes.get(id) === 'cancelled';
  return (
    jobs
      .get(id)
      ?.dependencies.some((dependency) => isCancelledByScan(jobs, outcomes, dependency)) ?? false
  );
}

function urgencyByScan(
  jobs: Map<string, SampleJob>,
  isOver: (id: string) => boolean,
  id: string,
): Urgency {
  let urgency = jobs.get(id)!.ownUrgency;
  for (const { id: other, dependencies } of jobs.values()) {
    if (!dependencies.includes(id) || isOver(other)) continue;
    urgency = combineUrgency(urgency, urgencyByScan(jobs, isOver, other));
  }
  return urgency;
}

test('the graph agrees with a recursion over all jobs, in whatever order the records are read', () => {
  const anyHistory = fc.record({
    jobs: fc.array(
      fc.record({
        dependencies: fc.array(fc.nat(20), { maxLength: 3 }),
        rank: fc.nat(3),
        dueAtMs: fc.constantFrom(100, 200, Infinity),
      }),
      { minLength: 1, maxLength: 12 },
    ),
    ends: fc.array(fc.record({ job: fc.nat(11), isDone: fc.boolean() }), { maxLength: 12 }),
    order: fc.array(fc.nat(1000), { minLength: 24, maxLength: 24 }),
  });
  let indirectCancellations = 0;
  let waiting = 0;
  fc.assert(
    fc.property(anyHistory, ({ jobs: plans, ends, order }) => {
      const all = plans.map(({ dependencies, rank, dueAtMs }, number) => {
        const earlier = number === 0 ? [] : [...new Set(dependencies.map((each) => each % number))];
        return newJob(
          `j-${number}`,
          earlier.map((each) => `j-${each}`),
          rank,
          dueAtMs,
        );
      });
      const jobs = new Map(all.map((job) => [job.id, job]));
      // Only a job without open dependencies can be done, and no job ends twice.
      const outcomes = new Map<string, Outcome>();
      for (const { job: number, isDone } of ends) {
        const job = all.at(number);
        if (!job || outcomes.has(job.id) || isCancelledByScan(jobs, outcomes, job.id)) continue;
        const isReady = job.dependencies.every((dependency) => outcomes.get(dependency) === 'done');
        if (!isDone || isReady) outcomes.set(job.id, isDone ? 'done' : 'cancelled');
      }
      // The record of an ended job is read either only as ended, or first as accepted and later as ended.
      const records = new RecordedJobs();
      const events = all.flatMap((job, number) => {
        const ended = outcomes.get(job.id);
        const accept = { at: order[number], run: () => records.accept(job) };
        if (ended === undefined) return [accept];
        const end = { at: order[number + 12], run: () => records.end(job.id, ended) };
        return order[number] % 2 === 0 ? [accept, end] : [end];
      });
      for (const { run } of events.sort((one, other) => one.at - other.at)) run();
      const isOver = (id: string) => outcomes.has(id) || isCancelledByScan(jobs, outcomes, id);
      for (const { id, dependencies } of all) {
        const expected = isCancelledByScan(jobs, outcomes, id) ? 'cancelled' : outcomes.get(id);
        assert.equal(records.outcomes.get(id), expected, id);
        if (isOver(id)) {
          if (!outcomes.has(id)) indirectCancellations++;
          continue;
        }
        const isWaiting = dependencies.some((dependency) => outcomes.get(dependency) !== 'done');
        if (isWaiting) waiting++;
        assert.equal(records.graph.hasOpenDependencies(id), isWaiting, id);
        assert.deepEqual(records.graph.urgencyOf(id), urgencyByScan(jobs, isOver, id), id);
        assert.deepEqual(records.urgencies.get(id), records.graph.urgencyOf(id), `${id} changes`);
      }
    }),
    PROPERTY_TEST_OPTIONS,
  );
  assert.ok(indirectCancellations > 50 && waiting > 100, `${indirectCancellations}, ${waiting}`);
});

test('a job is reported as startable once, when the last of its dependencies is done', () => {
  const records = new RecordedJobs();
  for (const job of [newJob('a'), newJob('b'), newJob('c', ['a', 'b'])]) records.accept(job);
  assert.deepEqual(records.graph.openDependencies('c'), ['a', 'b']);
  records.end('b', 'done');
  assert.ok(records.graph.hasOpenDependencies('c'));
  assert.deepEqual(records.startable, []);
  records.end('a', 'done');
  assert.ok(!records.graph.hasOpenDependencies('c'));
  assert.deepEqual(records.startable, ['c']);
});

test('a cancellation reaches the rest of a chain of a thousand jobs and lowers the urgency of its first job', () => {
  const records = new RecordedJobs();
  records.accept(newJob('first', [], 3));
  let previous = 'first';
  for (let number = 0; number < 1000; number++) {
    const id = `c-${number}`;
    records.accept(newJob(id, [previous], number === 999 ? 0 : 2, 500));
    previous = id;
  }
  assert.deepEqual(records.urgencies.get('first'), { rank: 0, dueAtMs: 500 });
  records.end('c-500', 'cancelled');
  assert.equal(records.outcomes.get('c-999'), 'cancelled');
  assert.equal(records.outcomes.get('c-499'), undefined);
  assert.deepEqual(records.urgencies.get('first'), { rank: 2, dueAtMs: 500 });
  records.accept(newJob('late', ['c-700']));
  assert.equal(records.outcomes.get('late'), 'cancelled');
  records.end('first', 'done');
  assert.deepEqual(records.startable, ['c-0']);
});

test('in a diamond of dependencies, the last job waits for both sides and is cancelled once', () => {
  const records = new RecordedJobs();
  for (const job of [
    newJob('a'),
    newJob('b', ['a']),
    newJob('c', ['a']),
    newJob('d', ['b', 'c'], 1),
  ])
    records.accept(job);
  assert.equal(records.urgencies.get('a')?.rank, 1);
  records.end('a', 'done');
  records.end('b', 'done');
  assert.ok(records.graph.hasOpenDependencies('d'));
  records.end('c', 'cancelled');
  assert.equal(records.outcomes.get('d'), 'cancelled');
  assert.deepEqual(records.startable, ['b', 'c']);
});

test('the graph keeps nothing of jobs that have neither dependencies nor dependents', () => {
  const records = new RecordedJobs();
  const job = newJob('a');
  records.accept(job);
  assert.deepEqual(records.graph.recordEnded('a', 'done'), []);
  for (const each of [newJob('b'), newJob('c', ['b'])]) records.accept(each);
  records.end('b', 'done');
  records.end('c', 'done');
  assert.deepEqual(
    Object.values(records.graph).map((value) => (value as Map<string, unknown>).size ?? 0),
    [0, 0],
  );
});
