import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { CommanderError } from 'commander';
import { findOutcome } from './comparison/baseline.js';
import { agree, describeComparison } from './comparison/compare-outcomes.js';
import { BadArguments, readOptions } from './comparison/options.js';
import { randomRuns } from './comparison/planned-runs.js';
import type { PlayedRun, RunOutcome } from './comparison/run-outcome.js';

const OWN_SOURCES = fileURLToPath(new URL('../../..', import.meta.url));

const PLAYED: PlayedRun = { kind: 'played', digest: 'ab12', eventCount: 80, problems: [] };
const FAILED: RunOutcome = { kind: 'failed', reason: 'the process ended early (1)' };

test('seeds are one or a range, ends included', () => {
  assert.deepEqual(readOptions(['--save', 'x', '--seeds', '7']).seeds, [7]);
  assert.deepEqual(readOptions(['--save', 'x', '--seeds', '9-11']).seeds, [9, 10, 11]);
  assert.deepEqual(readOptions(['--save', 'x']).seeds.length, 10);
});

test('another checkout is told by its simulation module', () => {
  const { mode, jobs } = readOptions(['--sources', OWN_SOURCES, '--jobs', '2']);
  assert.ok(mode.kind === 'sources' && mode.simulation.endsWith('simulation/index.js'));
  assert.equal(jobs, 2);
});

const REFUSED: [args: string, message: RegExp][] = [
  ['--seeds 1', /exactly one of/],
  ['--save a --against b', /exactly one of/],
  ['--sources /no/such', /--sources \/no\/such: .* is missing/],
  ['--save a --seeds 4-2', /--seeds.*a seed or a range/],
  ['--save a --seeds 1-', /--seeds.*a seed or a range/],
  ['--save a --seeds one', /--seeds.*a seed or a range/],
  ['--save a --jobs 0', /--jobs.*whole number of 1 or more/],
  ['--save a --jobs 1.5', /--jobs.*whole number of 1 or more/],
  ['--save a more', /too many arguments/],
  ['--no-such', /unknown option/],
];

for (const [args, message] of REFUSED) {
  test(`refused: ${args}`, (t) => {
    t.mock.method(process.stderr, 'write', () => true);
    assert.throws(
      () => readOptions(args.split(' ')),
      (err: unknown) =>
        (err instanceof CommanderError || err instanceof BadArguments) && message.test(err.message),
    );
  });
}

test('runs agree if both were played and had the same events', () => {
  assert.ok(agree(PLAYED, { ...PLAYED }));
  assert.ok(!agree(PLAYED, { ...PLAYED, digest: 'ab13' }));
  assert.ok(!agree(PLAYED, { ...PLAYED, eventCount: 81 }));
  assert.ok(!agree(PLAYED, FAILED));
  assert.ok(!agree(FAILED, FAILED));
});

test('a comparison is one line, and one more for each broken rule', () => {
  assert.equal(
    describeComparison('random', 7, PLAYED, PLAYED),
    'random, seed 7: same, 80 events, digest ab12\n',
  );
  const other = { ...PLAYED, digest: 'cd34', problems: ['orphaned'] };
  assert.equal(
    describeComparison('random', 7, PLAYED, other),
    'random, seed 7: DIFFERS: here 80 events, digest ab12; there 80 events, digest cd34\n' +
      '  broken there: orphaned\n',
  );
  assert.equal(
    describeComparison('random', 7, other, other),
    'random, seed 7: same, 80 events, digest cd34\n  broken here: orphaned\n',
  );
});

test('a saved run is found by scenario and seed', () => {
  const [run, another] = randomRuns([1, 2]);
  const { digest, eventCount, problems } = PLAYED;
  const saved = [{ scenario: run.scenario.name, seed: 1, digest, eventCount, problems }];
  assert.deepEqual(findOutcome(saved, run), PLAYED);
  assert.equal(findOutcome(saved, another).kind, 'failed');
});

test('random scenarios differ by seed and are the same for the same seed', () => {
  const [first, second] = randomRuns([1, 2]);
  assert.deepEqual(randomRuns([1]), [first]);
  assert.notDeepEqual(first.scenario.faults, second.scenario.faults);
});
