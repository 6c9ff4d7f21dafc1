/** The settings file that the platform hands to each controller: its fields, units and schema. */

/** One team: its guaranteed amounts, and the limits (`_max`) of its use; 0 means none. */
export interface TeamSettings {
  name: string;
  cpus: number;
  cpus_max: number;
  gpus: number;
  gpus_max: number;
}

/** Limits of the state service: requests and changes per second, kB per value, operations per transaction. */
export interface StateLimitSettings {
  rps: number;
  write_rps: number;
  value_kb: number;
  txn_ops: number;
}

/** The limits in force when the file is written, and the limits that apply from some later moment on (`next`). */
export interface StateSettings extends StateLimitSettings {
  next?: Partial<StateLimitSettings>;
}

/** What a deployment has and expects of its controllers. `_s` stands for seconds. */
export interface DeploymentSettings {
  nodes: number;
  zones: string[];
  clock_off_ms: number;
  teams: TeamSettings[];
  objectives: { kind: string; class?: string; within_s?: number; share?: number }[];
  workers: {
    // eslint-disable-next-line local/retired-words -- a name of the platform's file
    report_s: number;
    lease_s: number;
    gang_wait_s: number;
    gang_peer_s: number;
    cancel_s: number;
  };
  state: StateSettings;
  cloud: { rps: number; list_lag_s: number };
  limits: { cpu_share: number; memory_mb: number; sockets: number };
}

/** The whole file, with the field names that the platform uses. */
export interface PlatformSettings {
  host_name: string;
  zone: string;
  listen: string;
  cluster_listen: string;
  peers: { host_name: string; zone: string; peer_addr: string }[];
  external: { cloud: string; state: string };
  deployment: DeploymentSettings;
}

const positive = { type: 'number', exclusiveMinimum: 0 };
const nonNegative = { type: 'number', minimum: 0 };
const nonEmptyText = { type: 'string', minLength: 1 };
const address = { type: 'string', pattern: '^[0-9]+(\\.[0-9]+){3}:[0-9]{1,5}$' };

const stateLimits = {
  rps: positive,
  write_rps: positive,
  value_kb: positive,
  txn_ops: { type: 'integer', minimum: 2 },
};

/** JSON schema of the file; unknown fields are ignored. */
export const platformSchema = {
  type: 'object',
  required: ['host_name', 'zone', 'listen', 'cluster_listen', 'external', 'deployment'],
  properties: {
    host_name: nonEmptyText,
    zone: nonEmptyText,
    listen: address,
    cluster_listen: address,
    peers: {
      type: 'array',
      default: [],
      items: {
        type: 'object',
        required: ['host_name', 'peer_addr'],
        properties: { host_name: nonEmptyText, zone: nonEmptyText, peer_addr: address },
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
        zones: { type: 'array', items: nonEmptyText },
        clock_off_ms: { ...nonNegative, default: 0 },
        teams: {
          type: 'array',
          items: {
            type: 'object',
            required: ['name'],
            properties: {
              name: nonEmptyText,
              cpus: { ...nonNegative, default: 0 },
              cpus_max: { ...nonNegative, default: 0 },
              gpus: { ...nonNegative, default: 0 },
              gpus_max: { ...nonNegative, default: 0 },
            },
          },
        },
        objectives: {
          type: 'array',
          default: [],
          items: {
            type: 'object',
            required: ['kind'],
            properties: {
              kind: nonEmptyText,
              class: nonEmptyText,
              within_s: nonNegative,
              share: nonNegative,
            },
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
            ...stateLimits,
            next: { type: 'object', properties: stateLimits },
          },
        },
        cloud: {
          type: 'object',
          required: ['rps', 'list_lag_s'],
          properties: { rps: positive, list_lag_s: nonNegative },
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
