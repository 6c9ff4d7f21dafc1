/**
 * Compares runs of the simulated cluster between this build and another one, to see whether a change leaves
 * behaviour as it was: `node target/testing/simulation/compare-runs.js --help`. Each run is played in a process
 * of its own.
 */
import { fileURLToPath } from 'node:url';
import { CommanderError } from 'commander';
import {
  type BaselineRun,
  findOutcome,
  loadBaseline,
  saveBaseline,
} from './comparison/baseline.js';
import { agree, describeComparison, describeRun } from './comparison/compare-outcomes.js';
import {
  BadArguments,
  type ComparisonOptions,
  readOptions,
  simulationOf,
} from './comparison/options.js';
import { randomRuns } from './comparison/planned-runs.js';
import type { PlannedRun, RunOutcome } from './comparison/run-outcome.js';
import { WorkerPool } from './comparison/worker-pool.js';

const ExitCode = { same: 0, different: 1, badArguments: 2 } as const;
/** The checkout that this program belongs to. */
const OWN_SOURCES = fileURLToPath(new URL('../../..', import.meta.url));

type Play = (run: PlannedRun) => Promise<RunOutcome>;

/** Plays all runs with both and prints each comparison; the exit code. */
async function compare(runs: PlannedRun[], playHere: Play, playThere: Play): Promise<number> {
  const played = runs.map((run) => ({ run, here: playHere(run), there: playThere(run) }));
  let same = 0;
  for (const { run, here, there } of played) {
    const [ours, theirs] = [await here, await there];
    if (agree(ours, theirs)) same++;
    process.stdout.write(describeComparison(run.scenario.name, run.seed, ours, theirs));
  }
  process.stdout.write(`${same} of ${runs.length} runs are the same\n`);
  return same === runs.length ? ExitCode.same : ExitCode.different;
}

/** Plays all runs and writes them to the file unless one failed; the exit code. */
async function save(runs: PlannedRun[], play: Play, file: string): Promise<number> {
  const saved: BaselineRun[] = [];
  for (const { run, played } of runs.map((run) => ({ run, played: play(run) }))) {
    const outcome = await played;
    const scenario = run.scenario.name;
    process.stdout.write(describeRun(scenario, run.seed, outcome));
    if (outcome.kind === 'failed') continue;
    const { digest, eventCount, problems } = outcome;
    saved.push({ scenario, seed: run.seed, digest, eventCount, problems });
  }
  if (saved.length < runs.length) {
    process.stdout.write(`${runs.length - saved.length} runs failed; nothing is saved\n`);
    return ExitCode.different;
  }
  saveBaseline(file, saved);
  process.stdout.write(`${saved.length} runs are saved\n`);
  return ExitCode.same;
}

async function run({ mode, seeds, jobs }: ComparisonOptions): Promise<number> {
  const pool = new WorkerPool(jobs);
  const simulation = simulationOf(OWN_SOURCES);
  const runs = randomRuns(seeds);
  const playHere: Play = (run) => pool.play(simulation, run);
  switch (mode.kind) {
    case 'save':
      return save(runs, playHere, mode.file);
    case 'against': {
      const baseline = loadBaseline(mode.file);
      return compare(runs, playHere, (run) => Promise.resolve(findOutcome(baseline, run)));
    }
    case 'sources':
      return compare(runs, playHere, (run) => pool.play(mode.simulation, run));
  }
}

async function main(args: string[]): Promise<number> {
  try {
    return await run(readOptions(args));
  } catch (error) {
    // Commander has written its own message, or the help that was asked for.
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? ExitCode.same : ExitCode.badArguments;
    }
    if (!(error instanceof BadArguments)) throw error;
    process.stderr.write(`${error.message}\n`);
    return ExitCode.badArguments;
  }
}

process.exitCode = await main(process.argv.slice(2));
