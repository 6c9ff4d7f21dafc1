/**
 * Compares runs of the simulated cluster between this build and another one, to check that a change keeps
 * behaviour as it was: `node target/testing/simulation/compare-runs.js --help`. Each run executes in a separate
 * process.
 */
import { fileURLToPath } from 'node:url';
import { CommanderError } from 'commander';
import { haveSameEvents, describeComparison, describeRun } from './comparison/compare-outcomes.js';
import {
  BadArguments,
  type ComparisonOptions,
  readOptions,
  simulationModulePath,
} from './comparison/options.js';
import { type ExpectedRun, planRuns } from './comparison/planned-runs.js';
import type { PlannedRun, RunOutcome } from './comparison/run-outcome.js';
import { saveRuns, type RecordedRun } from './comparison/saved-runs.js';
import { WorkerPool } from './comparison/worker-pool.js';

const ExitCode = { same: 0, different: 1, badArguments: 2 } as const;
/** Root of the checkout that contains this program. */
const OWN_SOURCES = fileURLToPath(new URL('../../..', import.meta.url));

type Play = (run: ExpectedRun) => Promise<RunOutcome>;

/**
 * Executes all runs with this build (`playHere`), compares each with the outcome that `playThere`
 * returns, and prints the results. Returns the exit code.
 */
async function compare(runs: ExpectedRun[], playHere: Play, playThere: Play): Promise<number> {
  const played = runs.map((run) => ({ run, here: playHere(run), there: playThere(run) }));
  let sameCount = 0;
  for (const { run, here, there } of played) {
    const [ours, theirs] = [await here, await there];
    if (haveSameEvents(ours, theirs)) sameCount++;
    process.stdout.write(describeComparison(run, ours, theirs));
  }
  process.stdout.write(`${sameCount} of ${runs.length} runs are the same\n`);
  return sameCount === runs.length ? ExitCode.same : ExitCode.different;
}

/** Executes all runs and saves them to the file unless one failed. Returns the exit code. */
async function save(runs: PlannedRun[], play: Play, file: string): Promise<number> {
  const finished: RecordedRun[] = [];
  for (const { run, played } of runs.map((run) => ({ run, played: play(run) }))) {
    const outcome = await played;
    process.stdout.write(describeRun(run, outcome));
    const { scenario, seed } = run;
    if (outcome.kind === 'played') finished.push({ scenario, seed, outcome });
  }
  if (finished.length < runs.length) {
    process.stdout.write(`${runs.length - finished.length} runs failed; nothing is saved\n`);
    return ExitCode.different;
  }
  saveRuns(file, finished);
  process.stdout.write(`${finished.length} runs are saved\n`);
  return ExitCode.same;
}

/** Outcome of the run as recorded in the file from which the run was loaded. */
function expectedOutcome({ outcome, seed }: ExpectedRun): Promise<RunOutcome> {
  if (outcome !== undefined) return Promise.resolve(outcome);
  return Promise.reject(new Error(`the run with seed ${seed} has no outcome to compare with`));
}

async function run(options: ComparisonOptions): Promise<number> {
  const { mode, jobs } = options;
  const pool = new WorkerPool(jobs);
  const simulation = simulationModulePath(OWN_SOURCES);
  const runs = planRuns(options);
  const playHere: Play = (run) => pool.play(simulation, run);
  switch (mode.kind) {
    case 'save':
      return save(runs, playHere, mode.file);
    case 'against':
      return compare(runs, playHere, expectedOutcome);
    case 'sources':
      return compare(runs, playHere, (run) => pool.play(mode.simulation, run));
  }
}

async function main(args: string[]): Promise<number> {
  try {
    return await run(readOptions(args));
  } catch (error) {
    // Commander has already printed its error message or the requested help.
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? ExitCode.same : ExitCode.badArguments;
    }
    if (!(error instanceof BadArguments)) throw error;
    process.stderr.write(`${error.message}\n`);
    return ExitCode.badArguments;
  }
}

process.exitCode = await main(process.argv.slice(2));
