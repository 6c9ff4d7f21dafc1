/** The command line of `measure.js sizing`. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Command, InvalidArgumentError } from 'commander';
import { SettingsError, loadSettings, type PlatformSettings } from '#controller';
import type { SharedSettings } from '../../simulation/cluster-settings.js';
import { MEASUREMENTS, type MeasurementName } from './measurement-names.js';
import { JOBS_PER_MACHINE_MINUTE } from './workload.js';

/** Which measurements are taken, and at which size of the cluster. */
export interface SizingOptions {
  measurements: MeasurementName[];
  /** Settings that all controllers share: their number and the platform's deployment. */
  cluster: SharedSettings;
  machines: number;
  jobsPerMinute: number;
  /** Length of a measurement of the steady state. */
  seconds: number;
  /** How long the fleet runs at its full size before the first measurement. */
  settleS: number;
  /** How often the measurements of starts, take-overs and restarts are repeated. */
  repeat: number;
  /** Number of jobs that `burst` and `large-jobs` submit at once. */
  burst: number;
  /** How long all controllers are down in `restart`. */
  downS: number;
  /** Directory of a built checkout whose controllers are measured. */
  sources: string;
  /** Options of Node that precede those of the run command. */
  nodeOptions: string[];
  logLevel: string;
  /** Cores to which the throttle limits each controller; null if controllers are not throttled. */
  throttleCores: number | null;
  /** File to which JSON lines are appended; null if none are written. */
  json: string | null;
}

/** An invalid command line; the message names the option and the reason. */
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
/** Teams without limits, so that the whole fleet can be used. */
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
    .description(
      'Measures the processor time and memory of controllers at a given size, on this machine (Linux).',
    )
    .argument('[measurements...]', `${MEASUREMENTS.join(', ')}, or ${ALL}`, collectMeasurement, [])
    .exitOverride()
    .showSuggestionAfterError(false)
    .option('--machines <number>', 'machines, each with a worker', atLeast(1), 50)
    .option(
      '--jobs-per-minute <number>',
      `short jobs submitted per minute (default: ${JOBS_PER_MACHINE_MINUTE} for each machine)`,
      nonNegative,
    )
    .option('--seconds <number>', 'length of a measurement of the steady state', positive, 30)
    .option('--settle-s <seconds>', 'how long the full fleet runs beforehand', nonNegative, 20)
    .option('--repeat <number>', 'runs of start, take-over and restart', atLeast(1), 3)
    .option('--burst <number>', 'jobs submitted at once in burst and large-jobs', atLeast(1), 200)
    .option('--down-s <seconds>', 'how long controllers are down in restart', nonNegative, 6);
  addClusterOptions(program);
  return addProgramOptions(program);
}

function addClusterOptions(program: Command): void {
  program
    .option('--settings <file>', 'platform settings that other options override', OWN_SETTINGS)
    .option('--controllers <number>', 'number of controllers', atLeast(1))
    .option('--report-s <seconds>', "interval of a worker's heartbeats", positive)
    .option('--lease-s <seconds>', "length of a worker's lease", positive)
    .option('--cpu-share <cores>', 'processor limit of a controller, for comparison', positive)
    .option('--memory-mb <megabytes>', 'memory limit of a controller', positive)
    .option('--sockets <number>', 'socket limit of a controller', positive)
    .option('--state-rps <number>', 'request limit of the state service, per second', positive)
    .option('--state-write-rps <number>', 'write limit of the state service, per second', positive);
}

function addProgramOptions(program: Command): Command {
  return program
    .option('--sources <directory>', 'a built checkout whose controllers are measured', OWN_SOURCES)
    .option('--node-options <options>', 'Node options of the controllers', '')
    .option('--log-level <level>', 'log level of controllers; process statistics need info', 'info')
    .option(
      '--throttle <cores>',
      'limit of each controller, enforced by stopping and continuing its process',
      positive,
    )
    .option('--json <file>', 'append each measurement as a JSON object; - for standard output')
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

/** Reads the settings file and overrides its values by those of the command line. */
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

/** The number that the text holds; NaN if it holds none. */
function parseNumber(text: string): number {
  return text.trim() === '' ? NaN : Number(text);
}

function nonNegative(text: string): number {
  const value = parseNumber(text);
  if (value >= 0 && value < Infinity) return value;
  throw new InvalidArgumentError('It must be a number of 0 or more.');
}

function positive(text: string): number {
  const value = parseNumber(text);
  if (value > 0 && value < Infinity) return value;
  throw new InvalidArgumentError('It must be a number above 0.');
}

function atLeast(minimum: number): (text: string) => number {
  return (text) => {
    const value = parseNumber(text);
    if (Number.isInteger(value) && value >= minimum) return value;
    throw new InvalidArgumentError(`It must be a whole number of ${minimum} or more.`);
  };
}
