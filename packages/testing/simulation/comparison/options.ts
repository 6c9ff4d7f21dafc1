/** The command line of the program that compares runs. */
import { existsSync } from 'node:fs';
import path from 'node:path';
import { Command, InvalidArgumentError, Option } from 'commander';

/** What this build's runs are compared with, or where they are saved. */
export type ComparisonMode =
  | { kind: 'sources'; simulation: string }
  | { kind: 'against'; file: string }
  | { kind: 'save'; file: string };

export interface ComparisonOptions {
  mode: ComparisonMode;
  seeds: number[];
  /** Processes at the same time. */
  jobs: number;
}

/** Arguments that can't be used; the message names the option and the reason. */
export class BadArguments extends Error {}

interface RawOptions {
  sources?: string;
  against?: string;
  save?: string;
  seeds: number[];
  jobs: number;
}

/** The module of a built checkout that exports `runScenario`. */
const SIMULATION = 'target/testing/simulation/index.js';

/** Reads the command line; throws CommanderError or BadArguments. */
export function readOptions(args: string[]): ComparisonOptions {
  const raw = makeProgram().parse(args, { from: 'user' }).opts<RawOptions>();
  return { mode: modeFrom(raw), seeds: raw.seeds, jobs: raw.jobs };
}

/** Path of the simulation module of a built checkout; throws BadArguments if it isn't built. */
export function simulationOf(directory: string): string {
  const simulation = path.join(directory, SIMULATION);
  if (existsSync(simulation)) return simulation;
  throw new BadArguments(`--sources ${directory}: ${SIMULATION} is missing; build it first`);
}

/** The seeds of `7` or `1-40`. */
function parseSeeds(text: string): number[] {
  const match = /^(\d+)(?:-(\d+))?$/.exec(text);
  const first = Number(match?.[1]);
  const last = Number(match?.[2] ?? match?.[1]);
  if (!(first <= last)) throw new InvalidArgumentError('It must be a seed or a range as 1-40.');
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

function makeProgram(): Command {
  return new Command('compare-runs')
    .description(
      'Plays scenarios on the simulated cluster with this build and with another one, and compares ' +
        'the events of the runs. Exactly one of --sources, --against and --save is needed.',
    )
    .exitOverride()
    .showSuggestionAfterError(false)
    .allowExcessArguments(false)
    .option('--sources <directory>', 'another built checkout, which plays the same scenarios')
    .option('--against <file>', 'outcomes that --save wrote, in place of another checkout')
    .option('--save <file>', 'play only this build and write its outcomes to the file')
    .addOption(
      new Option('--seeds <range>', 'a seed or a range of seeds')
        .argParser(parseSeeds)
        .default(parseSeeds('1-10'), '1-10'),
    )
    .option('--jobs <number>', 'processes at the same time', parseJobs, 1)
    .addHelpText(
      'after',
      '\nExit code: 0 if all runs agree or are saved, 1 if not, 2 for arguments that cannot be used.',
    );
}

function modeFrom({ sources, against, save }: RawOptions): ComparisonMode {
  const modes: ComparisonMode[] = [];
  if (sources !== undefined) modes.push({ kind: 'sources', simulation: simulationOf(sources) });
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
