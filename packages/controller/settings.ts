import { readFileSync } from 'node:fs';
import type { ValidateFunction } from 'ajv';
import { parse as parseToml } from 'smol-toml';
import { compileSchema } from '#wire';
import type { TeamTerms } from '#core';
import { operatorSchema, OperatorSettings, withDefaults } from './operator.js';

/** A settings file that can't be used; the message names file, field and reason. */
export class BadSettings extends Error {}

export interface TeamSettings {
  name: string;
  cpus: number;
  cpus_max: number;
  gpus: number;
  gpus_max: number;
}

/** Guarantees and limits by team, in the core's words. */
export function teamTerms(teams: TeamSettings[]): Map<string, TeamTerms> {
  return new Map(
    teams.map((t) => [
      t.name,
      { cpus: t.cpus, gpus: t.gpus, cpusMax: t.cpus_max, gpusMax: t.gpus_max },
    ]),
  );
}

export interface PlatformSettings {
  host_name: string;
  zone: string;
  listen: string;
  cluster_listen: string;
  peers: { host_name: string; zone: string; peer_addr: string }[];
  external: { cloud: string; state: string };
  deployment: {
    nodes: number;
    zones: string[];
    clock_off_ms: number;
    teams: TeamSettings[];
    objectives: { kind: string; class?: string; within_s?: number; share?: number }[];
    workers: {
      report_s: number;
      lease_s: number;
      gang_wait_s: number;
      gang_peer_s: number;
      cancel_s: number;
    };
    state: { rps: number; write_rps: number; value_kb: number; txn_ops: number };
    cloud: { rps: number; list_lag_s: number };
    limits: { cpu_share: number; memory_mb: number; sockets: number };
  };
}

export interface Settings extends PlatformSettings {
  operator: OperatorSettings;
}

const positive = { type: 'number', exclusiveMinimum: 0 };
const amount = { type: 'number', minimum: 0 };
const text = { type: 'string', minLength: 1 };
const address = { type: 'string', pattern: '^[0-9]+(\\.[0-9]+){3}:[0-9]{1,5}$' };

const platformSchema = {
  type: 'object',
  required: ['host_name', 'zone', 'listen', 'cluster_listen', 'external', 'deployment'],
  properties: {
    host_name: text,
    zone: text,
    listen: address,
    cluster_listen: address,
    peers: {
      type: 'array',
      default: [],
      items: {
        type: 'object',
        required: ['host_name', 'peer_addr'],
        properties: { host_name: text, zone: text, peer_addr: address },
      },
    },
    external: {
      type: 'object',
      required: ['cloud', 'state'],
      properties: { cloud: address, state: address },
    },
    deployment: {
      type: 'object',
      required: ['nodes', 'zones', 'teams', 'workers', 'state', 'cloud', 'limits'],
      properties: {
        nodes: { type: 'integer', minimum: 1 },
        zones: { type: 'array', items: text },
        clock_off_ms: { ...amount, default: 0 },
        teams: {
          type: 'array',
          items: {
            type: 'object',
            required: ['name'],
            properties: {
              name: text,
              cpus: { ...amount, default: 0 },
              cpus_max: { ...amount, default: 0 },
              gpus: { ...amount, default: 0 },
              gpus_max: { ...amount, default: 0 },
            },
          },
        },
        objectives: {
          type: 'array',
          default: [],
          items: {
            type: 'object',
            required: ['kind'],
            properties: { kind: text, class: text, within_s: amount, share: amount },
          },
        },
        workers: {
          type: 'object',
          required: ['report_s', 'lease_s', 'gang_wait_s', 'gang_peer_s', 'cancel_s'],
          properties: {
            report_s: positive,
            lease_s: positive,
            gang_wait_s: positive,
            gang_peer_s: positive,
            cancel_s: positive,
          },
        },
        state: {
          type: 'object',
          required: ['rps', 'write_rps', 'value_kb', 'txn_ops'],
          properties: {
            rps: positive,
            write_rps: positive,
            value_kb: positive,
            txn_ops: { type: 'integer', minimum: 2 },
          },
        },
        cloud: {
          type: 'object',
          required: ['rps', 'list_lag_s'],
          properties: { rps: positive, list_lag_s: amount },
        },
        limits: {
          type: 'object',
          required: ['cpu_share', 'memory_mb', 'sockets'],
          properties: { cpu_share: positive, memory_mb: positive, sockets: positive },
        },
      },
    },
  },
};

const validPlatform = compileSchema<PlatformSettings>(platformSchema);
const validOperator = compileSchema<OperatorSettings>(operatorSchema);

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
  return { ...platform, operator: withDefaults(operator, platform) };
}
