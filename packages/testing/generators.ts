import fc from 'fast-check';
import type { Job, Heartbeat } from '#wire';

/** Options for property tests; the fixed seed makes every run generate the same cases. */
export const PROPERTY_TEST_OPTIONS = { seed: 20260901, numRuns: 300 };

/** Generates records with the prototype of `Object`, as decoded messages have. */
export function recordArbitrary<T>(model: { [K in keyof T]: fc.Arbitrary<T[K]> }): fc.Arbitrary<T> {
  return fc.record(model, { noNullPrototype: true }) as fc.Arbitrary<T>;
}

/** Names that the protocol allows. */
export const anyName = fc.string({ minLength: 1, maxLength: 40 });
export const anyAmount = fc.double({ min: 0, max: 1e6, noNaN: true }).map(Math.abs);
/** Counts, versions and tokens. */
export const anyCount = fc.integer({ min: 0, max: 2 ** 50 });
export const anyJobId = fc
  .integer({ min: 0, max: 999_999 })
  .map((n) => `j-${String(n).padStart(6, '0')}`);

export const anyJob: fc.Arbitrary<Job> = recordArbitrary({
  id: anyJobId,
  class: anyName,
  team: anyName,
  kind: fc.constantFrom('array', 'gang', 'service'),
  rank: fc.integer({ min: 0, max: 3 }),
  tasks: fc.integer({ min: 1, max: 100_000 }),
  cpus: anyAmount,
  gpus: anyAmount,
  memory: anyAmount,
  image: anyName,
  imageGb: anyAmount,
  types: fc.option(fc.array(anyName, { maxLength: 4 })),
  zone: fc.option(anyName),
  oneZone: fc.boolean(),
  spread: fc.boolean(),
  spot: fc.boolean(),
  estimateS: anyAmount,
  checkpointS: anyAmount,
  saveS: anyAmount,
  deadlineS: fc.option(anyAmount),
  awaits: fc.uniqueArray(anyJobId, { maxLength: 3 }),
});

/** Fields that identify one attempt of a task. */
export const anyTaskRef = {
  job: anyJobId,
  index: fc.integer({ min: 0, max: 99_999 }),
  attempt: anyCount,
};
export const anyHeartbeat: fc.Arbitrary<Heartbeat> = recordArbitrary({
  machine: anyName,
  addr: anyName,
  type: anyName,
  zone: anyName,
  spot: fc.boolean(),
  agentEpoch: anyCount,
  sequence: anyCount,
  fencingToken: anyCount,
  noticeS: fc.option(anyAmount),
  tasks: fc.array(
    recordArbitrary({
      ...anyTaskRef,
      state: fc.constantFrom('fetching', 'waiting', 'running', 'saving', 'exited'),
      cause: fc.option(fc.constantFrom('done', 'stopped', 'peers', 'alone', 'error', 'no_room')),
      checkpointed: fc.boolean(),
    }),
    { maxLength: 5 },
  ) as fc.Arbitrary<Heartbeat['tasks']>,
});
