/** Command line of the program that compares runs. */
import { existsSync } from 'node:fs';
import path from 'node:path';
import { Command, InvalidArgumentError } from 'commander';

/** Whether runs are compared with another checkout, compared with a file or saved to a file. */
export type ComparisonMode =
  | { kind: 'sources'; simulation: string }
  | { kind: 'against'; file: string }
  | { kind: 'save'; file: string };

/** Parsed command line. */
export interface ComparisonOptions {
  mode: ComparisonMode;
  /** File of runs that are executed instead of random scenarios; null for none. */
  recorded: string | null;
  /** Null for the default seeds of random scenarios, and for all runs of a file. */
  seeds: number[] | null;
  /** Maximum number of concurrent processes. */
  jobs: number;
}

/** Invalid arguments; the message names the option or file and the reason. */
export class BadArguments extends Error {}

interface RawOptions {
  sources?: string;
  against?: string;
  save?: string;
  recorded?: string;
  seeds?: number[];
  jobs: number;
}

/** Path of the module that exports `runScenario`, relative to the root of a built checkout. */
const SIMULATION_MODULE = 'target/testing/simulation/index.js';

/** Reads the command line; throws CommanderError or BadArguments. */
export function readOptions(args: string[]): ComparisonOptions {
  const raw = makeProgram().parse(args, { from: 'user' }).opts<RawOptions>();
  const { recorded = null, seeds = null, jobs } = raw;
  if (recorded !== null && raw.against !== undefined) {
    throw new BadArguments(
      '--recorded: cannot be combined with --against, which reads the runs from its own file',
    );
  }
  return { mode: modeFrom(raw), recorded, seeds, jobs };
}

/** Path of the simulation module of a built checkout; throws BadArguments if the checkout isn't built. */
export function simulationModulePath(directory: string): string {
  const simulation = path.join(directory, SIMULATION_MODULE);
  if (existsSync(simulation)) return simulation;
  throw new BadArguments(`--sources ${directory}: ${SIMULATION_MODULE} is missing; build it first`);
}

/** Parses one seed, such as `7`, or a range, such as `1-40`. */
function parseSeeds(text: string): number[] {
  const match = /^(\d+)(?:-(\d+))?$/.exec(text);
  const first = Number(match?.[1]);
  const last = Number(match?.[2] ?? match?.[1]);
  if (!(first <= last)) throw new InvalidArgumentError('It must be a seed or a range like 1-40.');
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

function makeProgram(): Command {
  return new Command('compare-runs')
    .description(
      'Runs random scenarios on the simulated cluster with this build and another one, and compares ' +
        'the events of the runs. Exactly one of --sources, --against and --save is needed.',
    )
    .exitOverride()
    .showSuggestionAfterError(false)
    .allowExcessArguments(false)
    .option('--sources <directory>', 'another built checkout that runs the same scenarios')
    .option('--against <file>', 'repeat the runs that --save wrote and compare the outcomes')
    .option('--save <file>', 'execute the runs with this build only and write them to the file')
    .option('--recorded <file>', 'execute the runs of this file instead of random scenarios')
    .option(
      '--seeds <range>',
      'such as 7 or 1-40 (default: 1-10, or all runs of a file)',
      parseSeeds,
    )
    .option('--jobs <number>', 'maximum number of concurrent processes', parseJobs, 1)
    .addHelpText(
      'after',
      '\nExit code: 0 if all runs agree or are saved, 1 if not, 2 for arguments that cannot be used.',
    );
}

function modeFrom({ sources, against, save }: RawOptions): ComparisonMode {
  const modes: ComparisonMode[] = [];
  if (sources !== undefined)
    modes.push({ kind: 'sources', simulation: simulationModulePath(sources) });
  if (against !== undefined) modes.push({ kind: 'against', file: against });
  if (save !== undefined) modes.push({ kind: 'save', file: save });
  if (modes.length === 1) return modes[0];
  throw new BadArguments('exactly one of --sources, --against and --save is needed');
}

function parseJobs(text: string): number {
  const jobs = /^\d+$/.test(text) ? Number(text) : 0;
  if (jobs > 0) return jobs;
  throw new InvalidArgumentError('It must be a whole number of 1 or more.');
}
