import { readFileSync } from 'node:fs';
import type { ValidateFunction } from 'ajv';
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
import { checkMoveTimes, checkTimes } from './time-bounds.js';

/** A settings file that can't be used; the message names file, field and reason. */
export class BadSettings extends Error {}

/** Guarantees and limits by team, in the core's words. */
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

export interface Settings extends PlatformSettings {
  operator: OperatorSettings;
}

const validPlatform = compileSchema<PlatformSettings>('platformSettings', platformSchema);
const validOperator = compileSchema<OperatorFile>('operatorSettings', operatorSchema);

function check<T>(file: string, value: unknown, valid: ValidateFunction<T>): T {
  if (valid(value)) return value;
  const first = valid.errors?.[0];
  const path = (first?.instancePath ?? '').slice(1).replaceAll('/', '.');
  const missing = first?.keyword === 'required' ? String(first.params.missingProperty) : '';
  const field = [path, missing].filter(Boolean).join('.') || 'the file';
  throw new BadSettings(`${file}: ${field}: ${missing ? 'is missing' : first?.message}`);
}

function read(file: string, parse: (text: string) => unknown): unknown {
  let content: string;
  try {
    content = readFileSync(file, 'utf8');
  } catch (err) {
    throw new BadSettings(`${file}: the file: ${(err as NodeJS.ErrnoException).code ?? err}`);
  }
  try {
    return parse(content);
  } catch (err) {
    const reason = (err as Error).message.split('\n')[0];
    throw new BadSettings(`${file}: the file: ${reason}`);
  }
}

/** Reads and checks the platform's file and, if given, the operator's. */
export function loadSettings(platformFile: string, operatorFile: string | null): Settings {
  const platform = check(platformFile, read(platformFile, parseToml), validPlatform);
  const raw = operatorFile === null ? {} : read(operatorFile, JSON.parse);
  const operator = check(operatorFile ?? 'defaults', raw, validOperator);
  const settings = { ...platform, operator: withDefaults(operator, platform) };
  const problem = checkTimes(settings.deployment.workers);
  if (problem) throw new BadSettings(`${platformFile}: ${problem}`);
  const moveProblem = checkMoveTimes(settings.deployment.workers, settings.operator.moves);
  if (moveProblem) throw new BadSettings(`${operatorFile}: ${moveProblem}`);
  const classProblem = checkReplicaClasses(platform, settings.operator.replicaGroups);
  if (classProblem) throw new BadSettings(`${operatorFile}: ${classProblem}`);
  return settings;
}
