/**
 * Guards against checks that miss defects in the handling of dependencies: each test replaces one method by a faulty
 * one, and the checks must find it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DependencyGraph } from '#dependencies';
import { DependencyValidator } from '../../controller/api/dependency-validator.js';
import { JobStore } from '../../controller/api/job-store.js';
import { JobRegistry } from '../../core/model/job-registry.js';
import type { JobState } from '../../core/model/entities.js';
import { runScenario, type Fault, type ScenarioResult } from '../simulation/index.js';
import { prematureStarts } from './dependency-queries.js';
import { dependentJobsScenario } from './dependent-work.js';

/** Methods of a prototype, including private ones. */
type Methods = Record<string, (...args: never[]) => unknown>;

const LENGTH_S = 150;
const FAULTS: Fault[] = [
  { kind: 'close-looks', atS: 20, forS: 100 },
  { kind: 'state-slow', atS: 40, forS: 40, latencyMs: [50, 300] },
  { kind: 'cancel-at-end', atS: 40, forS: 50, share: 0.1 },
];

/** Runs the scenario while one method of a class is replaced. */
async function runWithReplacedMethod(
  prototype: object,
  name: string,
  replace: (original: (...args: unknown[]) => unknown) => (...args: never[]) => unknown,
): Promise<ScenarioResult> {
  const methods = prototype as Methods;
  const original = methods[name];
  assert.equal(typeof original, 'function', `no method ${name} to replace`);
  methods[name] = replace(original as (...args: unknown[]) => unknown);
  try {
    const pipeline = { cancelledShare: 0.5 };
    return await runScenario(dependentJobsScenario('mistake', LENGTH_S, FAULTS, { pipeline }), 1);
  } finally {
    methods[name] = original;
  }
}

function violatedRules({ violations }: ScenarioResult): Set<string> {
  return new Set(violations.map(({ rule }) => rule));
}

test('without a defect no rule is violated', async () => {
  const result = await runWithReplacedMethod(
    DependencyGraph.prototype,
    'recordEnded',
    (original) => original,
  );
  assert.deepEqual([...violatedRules(result)], []);
  assert.deepEqual(prematureStarts(result), []);
});

test('a start that relies on an end that is not recorded yet is found', async () => {
  const result = await runWithReplacedMethod(
    JobRegistry.prototype,
    'markDone',
    (original) =>
      function (this: JobRegistry, job: JobState, index: number) {
        original.call(this, job, index);
        if (job.done.size < job.spec.tasks) return;
        const isDone = (id: string) => {
          const other = this.get(id);
          return other === undefined || other.done.size === other.spec.tasks;
        };
        for (const other of this.values()) {
          if (other.hasOpenDependencies && other.spec.awaits.every(isDone)) {
            this.dependenciesDone(other, other.waitingSince);
          }
        }
      },
  );
  assert.ok(prematureStarts(result).length > 0);
});

test('a start before the dependencies are done is found', async () => {
  const result = await runWithReplacedMethod(
    DependencyGraph.prototype,
    'hasOpenDependencies',
    () => () => false,
  );
  assert.ok(violatedRules(result).has('too_early'));
});

test('a cancellation that aborts only direct dependents is found', async () => {
  const result = await runWithReplacedMethod(
    DependencyGraph.prototype,
    'recordEnded',
    (original) =>
      function (this: DependencyGraph, id: string, outcome: 'done' | 'cancelled') {
        const { nodes } = this as unknown as {
          nodes: Map<string, { dependents: Set<{ id: string }> }>;
        };
        const next = [...(nodes.get(id)?.dependents ?? [])].map((node) => node.id);
        const changes = original.call(this, id, outcome) as { kind: string; job: string }[];
        return changes.filter(({ kind, job }) => kind !== 'cancelled' || next.includes(job));
      },
  );
  assert.ok(violatedRules(result).has('orphaned'));
});

test('a final refusal because a controller does not know a dependency, without a look at the records, is found', async () => {
  const result = await runWithReplacedMethod(
    DependencyValidator.prototype,
    'rejectionReason',
    () =>
      function (this: { jobs: { get(id: string): unknown } }, { awaits }: { awaits: string[] }) {
        const unknown = awaits.find((id) => !this.jobs.get(id));
        return Promise.resolve(unknown === undefined ? null : `awaits: ${unknown}`);
      },
  );
  assert.ok(violatedRules(result).has('refused_fit'));
});

test('an answer from memory alone, without a look at the records, is found', async () => {
  const result = await runWithReplacedMethod(
    JobStore.prototype,
    'lookUp',
    () =>
      function (this: { options: { jobs: { get(id: string): unknown } } }, id: string) {
        return Promise.resolve(this.options.jobs.get(id));
      },
  );
  const rules = violatedRules(result);
  assert.ok(rules.has('went_back') || rules.has('forgotten'), [...rules].join(' '));
});
