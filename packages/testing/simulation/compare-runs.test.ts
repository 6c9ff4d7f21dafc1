import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test, type TestContext } from 'node:test';
import { fileURLToPath } from 'node:url';
import { CommanderError } from 'commander';
import { haveSameEvents, describeComparison } from './comparison/compare-outcomes.js';
import { BadArguments, readOptions } from './comparison/options.js';
import { planRuns, randomRuns } from './comparison/planned-runs.js';
import type { PlayedRun, RunOutcome } from './comparison/run-outcome.js';
import { appendRun, loadRuns, saveRuns } from './comparison/saved-runs.js';

const OWN_SOURCES = fileURLToPath(new URL('../../..', import.meta.url));

const PLAYED: PlayedRun = { kind: 'played', digest: 'ab12', eventCount: 80, problems: [] };
const [RUN] = randomRuns([7]);
const FAILED: RunOutcome = { kind: 'failed', reason: 'the process ended early (1)' };

test('--seeds takes one seed or a range that includes both ends; the default is ten seeds', () => {
  assert.deepEqual(readOptions(['--save', 'x', '--seeds', '7']).seeds, [7]);
  assert.deepEqual(readOptions(['--save', 'x', '--seeds', '9-11']).seeds, [9, 10, 11]);
  assert.equal(planRuns(readOptions(['--save', 'x'])).length, 10);
});

test('--sources resolves to the simulation module of the other checkout', () => {
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
  ['--against a --recorded b', /--recorded/],
  ['--no-such', /unknown option/],
];

for (const [args, message] of REFUSED) {
  test(`arguments are refused: ${args}`, (t) => {
    t.mock.method(process.stderr, 'write', () => true);
    assert.throws(
      () => readOptions(args.split(' ')),
      (err: unknown) =>
        (err instanceof CommanderError || err instanceof BadArguments) && message.test(err.message),
    );
  });
}

test('runs agree only if both completed with the same digest and event count', () => {
  assert.ok(haveSameEvents(PLAYED, { ...PLAYED }));
  assert.ok(!haveSameEvents(PLAYED, { ...PLAYED, digest: 'ab13' }));
  assert.ok(!haveSameEvents(PLAYED, { ...PLAYED, eventCount: 81 }));
  assert.ok(!haveSameEvents(PLAYED, FAILED));
  assert.ok(!haveSameEvents(FAILED, FAILED));
});

test('a comparison prints one line, and one more for each broken rule', () => {
  assert.equal(
    describeComparison(RUN, PLAYED, PLAYED),
    'random, seed 7: same, 80 events, digest ab12\n',
  );
  const other = { ...PLAYED, digest: 'cd34', problems: ['orphaned'] };
  assert.equal(
    describeComparison(RUN, PLAYED, other),
    'random, seed 7: DIFFERS: here 80 events, digest ab12; there 80 events, digest cd34\n' +
      '  broken there: orphaned\n',
  );
  assert.equal(
    describeComparison(RUN, other, other),
    'random, seed 7: same, 80 events, digest cd34\n  broken here: orphaned\n',
  );
});

/** Path of a file in a temporary directory that is deleted after the test. */
function temporaryFile(t: TestContext): string {
  const directory = mkdtempSync(path.join(tmpdir(), 'compare-runs-'));
  t.after(() => rmSync(directory, { recursive: true }));
  return path.join(directory, 'runs.json');
}

test('saved runs are loaded with scenario and outcome, filtered by seed if seeds are given', (t) => {
  const file = temporaryFile(t);
  const [first, second] = randomRuns([1, 2]).map((run) => ({ ...run, outcome: PLAYED }));
  saveRuns(file, [first]);
  appendRun(file, second);
  assert.deepEqual(loadRuns(file), [first, second]);
  assert.deepEqual(planRuns(readOptions(['--against', file])), [first, second]);
  assert.deepEqual(planRuns(readOptions(['--against', file, '--seeds', '2-9'])), [second]);
  assert.deepEqual(planRuns(readOptions(['--save', 'x', '--recorded', file])), [first, second]);
  assert.throws(() => planRuns(readOptions(['--against', file, '--seeds', '3'])), BadArguments);
});

test('files that are empty, malformed or missing are refused', (t) => {
  const file = temporaryFile(t);
  for (const text of ['', 'no JSON']) {
    writeFileSync(file, text);
    assert.throws(() => planRuns(readOptions(['--against', file])), BadArguments);
  }
  assert.throws(() => planRuns(readOptions(['--against', `${file}.none`])), BadArguments);
});

test('random scenarios differ by seed and are the same for the same seed', () => {
  const [first, second] = randomRuns([1, 2]);
  assert.deepEqual(randomRuns([1]), [first]);
  assert.notDeepEqual(first.scenario.faults, second.scenario.faults);
});
