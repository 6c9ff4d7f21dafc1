/** The command line of the measuring program. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Command, InvalidArgumentError } from 'commander';
import { SettingsError, loadSettings, type PlatformSettings } from '#controller';
import type { SharedSettings } from '../../simulation/cluster-settings.js';
import { MEASUREMENTS, type MeasurementName } from './measurement-names.js';
import { JOBS_PER_MACHINE_MINUTE } from './workload.js';

/** What is to be measured, and at which size. */
export interface SizingOptions {
  measurements: MeasurementName[];
  /** What all controllers share: their number and the platform's figures. */
  cluster: SharedSettings;
  machines: number;
  jobsPerMinute: number;
  /** Length of a steady measurement. */
  seconds: number;
  /** How long the full fleet works before anything is measured. */
  settleS: number;
  /** How often starts, take-overs and restarts are measured. */
  repeat: number;
  /** Jobs that come at once where a burst is measured. */
  burst: number;
  /** How long all controllers are down where their restart is measured. */
  downS: number;
  /** A built checkout whose controllers are measured. */
  sources: string;
  /** Options of Node itself, before those of the run line. */
  nodeOptions: string[];
  logLevel: string;
  /** Cores that each controller is held to by stopping and continuing it; null: it is not. */
  throttleCores: number | null;
  /** Where JSON lines are added; null for nowhere. */
  json: string | null;
}

/** Arguments that can't be used; the message names the option and the reason. */
export class BadArguments extends Error {}

interface RawOptions {
  settings: string;
  controllers?: number;
  machines: number;
  jobsPerMinute?: number;
  reportS?: number;
  leaseS?: number;
  cpuShare?: number;
  memoryMb?: number;
  sockets?: number;
  stateRps?: number;
  stateWriteRps?: number;
  seconds: number;
  settleS: number;
  repeat: number;
  burst: number;
  downS: number;
  sources: string;
  nodeOptions: string;
  logLevel: string;
  throttle?: number;
  json?: string;
}

/** The checkout that this program belongs to. */
const OWN_SOURCES = fileURLToPath(new URL('../../../..', import.meta.url));
const OWN_SETTINGS = path.join(OWN_SOURCES, 'examples/settings.toml');
/** Without limits, so that the whole fleet is used. */
const TEAMS = ['team-a', 'team-b'].map((name) => ({
  name,
  cpus: 0,
  cpus_max: 0,
  gpus: 0,
  gpus_max: 0,
}));
const OBJECTIVES = [
  { kind: 'wait', class: 'replica', within_s: 4, share: 0.85 },
  { kind: 'wait', class: 'gang', within_s: 12, share: 0.9 },
];
const ALL = 'all';

/** Reads the command line; throws CommanderError or BadArguments. */
export function readOptions(args: string[]): SizingOptions {
  const program = makeProgram().parse(args, { from: 'user' });
  return buildOptions(program.args, program.opts<RawOptions>());
}

function makeProgram(): Command {
  const program = new Command('sizing')
    .description('Measures what controllers need at a given size, on this machine (Linux).')
    .argument('[measurements...]', `${MEASUREMENTS.join(', ')}, or ${ALL}`, collectMeasurement, [])
    .exitOverride()
    .showSuggestionAfterError(false)
    .option('--machines <number>', 'machines, each of which reports', integerParser(1), 50)
    .option(
      '--jobs-per-minute <number>',
      `jobs that come and go (default: ${JOBS_PER_MACHINE_MINUTE} for each machine)`,
      parseNonNegative,
    )
    .option('--seconds <number>', 'length of a steady measurement', parsePositive, 30)
    .option('--settle-s <seconds>', 'how long the full fleet works before', parseNonNegative, 20)
    .option(
      '--repeat <number>',
      'how often starts, take-overs, restarts are measured',
      integerParser(1),
      3,
    )
    .option(
      '--burst <number>',
      'jobs that come at once in burst and large-jobs',
      integerParser(1),
      200,
    )
    .option('--down-s <seconds>', 'how long controllers are down in restart', parseNonNegative, 6);
  addClusterOptions(program);
  return addProgramOptions(program);
}

function addClusterOptions(program: Command): void {
  program
    .option('--settings <file>', "the platform's settings to begin with", OWN_SETTINGS)
    .option('--controllers <number>', 'controllers', integerParser(1))
    .option('--report-s <seconds>', "workers' report period", parsePositive)
    .option('--lease-s <seconds>', "workers' lease", parsePositive)
    .option(
      '--cpu-share <cores>',
      'limit of a controller that figures are compared with',
      parsePositive,
    )
    .option('--memory-mb <megabytes>', 'limit of a controller', parsePositive)
    .option('--sockets <number>', 'limit of a controller', parsePositive)
    .option('--state-rps <number>', "state service's requests a second", parsePositive)
    .option('--state-write-rps <number>', "state service's changes a second", parsePositive);
}

function addProgramOptions(program: Command): Command {
  return program
    .option('--sources <directory>', 'a built checkout whose controllers are measured', OWN_SOURCES)
    .option('--node-options <options>', 'options of Node for the controllers', '')
    .option('--log-level <level>', "the controllers' (process statistics need info)", 'info')
    .option(
      '--throttle <cores>',
      'hold controllers to it by stopping and continuing them',
      parsePositive,
    )
    .option('--json <file>', 'add one JSON object per measurement to the file; - for the output')
    .addHelpText(
      'after',
      '\nExample:\n  $ node target/testing/measure.js sizing owner standby --controllers 3 --machines 100',
    );
}

function buildOptions(names: string[], raw: RawOptions): SizingOptions {
  const cluster = buildSharedSettings(raw);
  const { machines, seconds, settleS, repeat, burst, downS, sources, logLevel } = raw;
  const chosen = names.length > 0 ? names : [...DEFAULT_MEASUREMENTS];
  const measurements = MEASUREMENTS.filter((name) => chosen.includes(name) || chosen.includes(ALL));
  if (measurements.includes('take-over') && cluster.controllers < 2) {
    throw new BadArguments('--controllers: a take-over needs at least 2');
  }
  return {
    measurements,
    cluster,
    machines,
    jobsPerMinute: raw.jobsPerMinute ?? machines * JOBS_PER_MACHINE_MINUTE,
    seconds,
    settleS,
    repeat,
    burst,
    downS,
    sources,
    nodeOptions: raw.nodeOptions.split(' ').filter((option) => option !== ''),
    logLevel,
    throttleCores: raw.throttle ?? null,
    json: raw.json ?? null,
  };
}

/** The settings file's figures, with those of the command line in their place. */
function buildSharedSettings(raw: RawOptions): SharedSettings {
  const { deployment } = readSettings(raw.settings);
  const { workers, limits, state } = deployment;
  return {
    controllers: raw.controllers ?? deployment.nodes,
    deployment: {
      ...deployment,
      teams: TEAMS,
      objectives: OBJECTIVES,
      workers: {
        ...workers,
        report_s: raw.reportS ?? workers.report_s,
        lease_s: raw.leaseS ?? workers.lease_s,
      },
      state: {
        ...state,
        rps: raw.stateRps ?? state.rps,
        write_rps: raw.stateWriteRps ?? state.write_rps,
      },
      limits: {
        cpu_share: raw.cpuShare ?? limits.cpu_share,
        memory_mb: raw.memoryMb ?? limits.memory_mb,
        sockets: raw.sockets ?? limits.sockets,
      },
    },
  };
}

function readSettings(file: string): PlatformSettings {
  try {
    return loadSettings(file, null);
  } catch (err) {
    if (err instanceof SettingsError) throw new BadArguments(`--settings ${err.message}`);
    throw err;
  }
}

const DEFAULT_MEASUREMENTS: readonly MeasurementName[] = ['start', 'owner', 'standby', 'take-over'];

function collectMeasurement(text: string, previous: string[]): string[] {
  const names: readonly string[] = [...MEASUREMENTS, ALL];
  if (names.includes(text)) return [...previous, text];
  throw new InvalidArgumentError(`It must be one of ${names.join(', ')}.`);
}

/** Not a number if it is none. */
function parseNumber(text: string): number {
  return text.trim() === '' ? NaN : Number(text);
}

function parseNonNegative(text: string): number {
  const value = parseNumber(text);
  if (value >= 0 && value < Infinity) return value;
  throw new InvalidArgumentError('It must be a number of 0 or more.');
}

function parsePositive(text: string): number {
  const value = parseNumber(text);
  if (value > 0 && value < Infinity) return value;
  throw new InvalidArgumentError('It must be a number above 0.');
}

function integerParser(minimum: number): (text: string) => number {
  return (text) => {
    const value = parseNumber(text);
    if (Number.isInteger(value) && value >= minimum) return value;
    throw new InvalidArgumentError(`It must be a whole number of ${minimum} or more.`);
  };
}
