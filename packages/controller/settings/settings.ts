/** Reads the settings of a controller from its files, and checks them before anything starts. */
import { readFileSync } from 'node:fs';
import type { ErrorObject, ValidateFunction } from 'ajv';
import { parse as parseToml } from 'smol-toml';
import { compileSchema } from '#wire';
import type { TeamQuota } from '#core';
import {
  type OperatorFile,
  operatorSchema,
  OperatorSettings,
  withDefaults,
} from './operator-settings.js';
import { platformSchema, PlatformSettings, TeamSettings } from './platform-settings.js';
import { checkReplicaClasses } from './replica-classes.js';
import { SettingsError, type SettingsProblem, WHOLE_FILE } from './settings-error.js';
import { checkMigrationTimes, checkWorkerTimes } from './time-bounds.js';

/** Guarantees and limits by team, with the field names of the core. */
export function teamQuotas(teams: TeamSettings[]): Map<string, TeamQuota> {
  return new Map(
    teams.map((team) => [
      team.name,
      {
        guaranteedCpus: team.cpus,
        guaranteedGpus: team.gpus,
        cpuLimit: team.cpus_max,
        gpuLimit: team.gpus_max,
      },
    ]),
  );
}

/** All settings of a controller: the platform's file, and the operators' settings with defaults applied. */
export interface Settings extends PlatformSettings {
  operator: OperatorSettings;
}

/** Stands for the file name in errors if the operators have no settings file. */
const NO_OPERATOR_FILE = 'defaults';

const validatePlatform = compileSchema<PlatformSettings>('platformSettings', platformSchema);
const validateOperator = compileSchema<OperatorFile>('operatorSettings', operatorSchema);

/**
 * Reads and checks the platform's file and, if given, the operators' file. Throws SettingsError if a file can't
 * be read, a field is not valid, or the settings contradict each other.
 */
export function loadSettings(platformFile: string, operatorFile: string | null): Settings {
  const platform = validate(platformFile, readAndParse(platformFile, parseToml), validatePlatform);
  const raw = operatorFile === null ? {} : readAndParse(operatorFile, JSON.parse);
  const operatorName = operatorFile ?? NO_OPERATOR_FILE;
  const operatorValues = validate(operatorName, raw, validateOperator);
  const settings = { ...platform, operator: withDefaults(operatorValues, platform) };
  const { workers } = platform.deployment;
  const { moves, replicaGroups } = settings.operator;
  throwIfProblem(platformFile, checkWorkerTimes(workers));
  throwIfProblem(operatorName, checkMigrationTimes(workers, moves));
  throwIfProblem(operatorName, checkReplicaClasses(platform, replicaGroups));
  return settings;
}

function throwIfProblem(file: string, problem: SettingsProblem | null): void {
  if (problem !== null) throw new SettingsError(file, problem);
}

/** The parsed content of a settings file; throws SettingsError if it can't be read or parsed. */
function readAndParse(file: string, parse: (text: string) => unknown): unknown {
  const content = readText(file);
  try {
    return parse(content);
  } catch (err) {
    const [reason] = (err as Error).message.split('\n');
    throw new SettingsError(file, { field: WHOLE_FILE, reason }, { cause: err });
  }
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    const reason = (err as NodeJS.ErrnoException).code ?? String(err);
    throw new SettingsError(file, { field: WHOLE_FILE, reason }, { cause: err });
  }
}

/** Returns the value if it matches the schema; throws SettingsError with the first field that does not. */
function validate<T>(file: string, value: unknown, validator: ValidateFunction<T>): T {
  if (validator(value)) return value;
  throw new SettingsError(file, toProblem(validator.errors?.[0]));
}

function toProblem(error: ErrorObject | undefined): SettingsProblem {
  const path = (error?.instancePath ?? '').slice(1).replaceAll('/', '.');
  if (error?.keyword === 'required') {
    const missing = String(error.params.missingProperty);
    return { field: path === '' ? missing : `${path}.${missing}`, reason: 'is missing' };
  }
  return { field: path === '' ? WHOLE_FILE : path, reason: error?.message ?? 'is not valid' };
}
