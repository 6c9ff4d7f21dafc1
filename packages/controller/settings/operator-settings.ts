/** The operators' settings file: its fields, schema and defaults, and how its names map to those of the code. */
import type { ReplicaClasses } from '#replicas';
import { MAX_TASKS } from '#wire';
import type { PlatformSettings } from './platform-settings.js';

/** The operators' settings with defaults applied; docs/operator.schema.json describes the file. */
export interface OperatorSettings extends Omit<NumberSettings, 'ownerTtlS'> {
  /** Time to live of the election lease, in seconds; `ownerTtlS` in the file. */
  electionLeaseTtlS: number;
  /** Time limits of planned shard migrations; null if they are disabled, so that their code is not loaded. */
  moves: MigrationSettings | null;
  /** Classes whose replicas have several members; null if disabled, so that the code for them is not loaded. */
  replicaGroups: ReplicaClasses | null;
}

/** Content of the operators' settings file; every setting is optional. */
export type OperatorFile = Partial<NumberSettings> & {
  moves?: Partial<MigrationSettings>;
  replicaGroups?: Record<string, ReplicaClassFields>;
};

/** The fields of one class of replica groups in the file. */
interface ReplicaClassFields {
  members: number | 'job';
  sameZone?: boolean;
}

/** Time limits of the phases of a planned shard migration, in seconds. */
export interface MigrationSettings {
  prepareS: number;
  switchS: number;
}

/** Settings whose value is a number, by their names in the file. */
interface NumberSettings {
  shareHalfLifeS: number;
  floorWeight: number;
  stopThreshold: number;
  gangLeaseS: number;
  preemptAfterS: number;

  // eslint-disable-next-line local/retired-words -- a name of the operators' file
  ownerTtlS: number;
  reserveSigmas: number;
  idleHoldS: number;
  arrivalMemoryS: number;
}

/** One setting: its description, its JSON schema, and its default. */
interface OperatorField {
  description: string;
  schema: Record<string, unknown>;
  default: number | MultipleOf;
}

/** A default that is a multiple of a setting of the platform. */
interface MultipleOf {
  times: number;
  of: 'lease_s' | 'report_s';
}

const positive = { type: 'number', exclusiveMinimum: 0 };
const nonNegative = { type: 'number', minimum: 0 };
const ratio = { type: 'number', minimum: 0, maximum: 1 };
/** Times to live that the state service accepts for a lease, in seconds. */
const leaseTtl = { type: 'number', minimum: 0.1, maximum: 600 };

const numberFields: Record<keyof NumberSettings, OperatorField> = {
  shareHalfLifeS: {
    description: 'Half-life of the counters of the service that each team has received, seconds.',
    schema: positive,
    default: 86_400,
  },
  floorWeight: {
    description: 'Least weight of a team, as a share of the fleet.',
    schema: { ...positive, maximum: 1 },
    default: 0.05,
  },
  stopThreshold: {
    description:
      "A gang may be stopped when its lease ends if a waiting team's fair-share index is below this ratio of the index of the gang's team.",
    schema: ratio,
    default: 0.5,
  },
  gangLeaseS: {
    description: 'Lease of a running gang, seconds.',
    schema: positive,
    default: { times: 12, of: 'lease_s' },
  },
  preemptAfterS: {
    description:
      'How long work of a higher rank, or within the guarantee of its team, waits before it preempts other work, seconds.',
    schema: nonNegative,
    default: { times: 2, of: 'report_s' },
  },
  ownerTtlS: {
    description:
      'Time to live of the election lease by which a controller leads the shard, seconds.',
    schema: leaseTtl,
    default: { times: 0.25, of: 'lease_s' },
  },
  reserveSigmas: {
    description:
      'Capacity kept free for classes with a short wait, in standard deviations of the arrivals within the boot time of a machine.',
    schema: nonNegative,
    default: 2,
  },
  idleHoldS: {
    description:
      'How long an empty machine that is not needed is kept, seconds. Once no job has arrived for half of this time, a third of it applies.',
    schema: nonNegative,
    default: { times: 6, of: 'lease_s' },
  },
  arrivalMemoryS: {
    description: 'Averaging time of arrival rates, seconds.',
    schema: positive,
    default: { times: 12, of: 'lease_s' },
  },
};

const moveFields: Record<keyof MigrationSettings, OperatorField> = {
  prepareS: {
    description:
      'How long the leader waits until the target of a move is ready and the leader itself has stopped making decisions, seconds.',
    schema: positive,
    default: { times: 8, of: 'report_s' },
  },
  switchS: {
    description:
      'How long the leader, which makes no decisions meanwhile, waits for the target to take over the shard, seconds.',
    schema: positive,
    default: { times: 2, of: 'report_s' },
  },
};

const replicaGroupsSchema = {
  type: 'object',
  description:
    'Classes of services whose replicas span several tasks, by name. Each replica starts, moves and is repaired as a whole. Disabled if the section is absent.',
  additionalProperties: {
    type: 'object',
    required: ['members'],
    properties: {
      members: {
        description:
          'Number of tasks of one replica: tasks 0 to members - 1 are the first replica. "job": all tasks of a job are one replica.',
        anyOf: [{ type: 'integer', minimum: 2, maximum: MAX_TASKS }, { const: 'job' }],
      },
      sameZone: {
        type: 'boolean',
        description: 'All members of one replica must be in the same zone. Default: false.',
      },
    },
    additionalProperties: false,
  },
};

/** JSON schema of the operators' file; `sorreldale schema` prints it. */
export const operatorSchema = {
  $schema: 'http://json-schema.org/draft-07/schema#',
  title: "sorreldale: operators' settings",
  type: 'object',
  properties: {
    ...toSchemaProperties(numberFields),
    moves: {
      type: 'object',
      description:
        'Planned moves of the shard from one controller to another. Disabled if the section is absent.',
      properties: toSchemaProperties(moveFields),
      additionalProperties: false,
    },
    replicaGroups: replicaGroupsSchema,
  },
};

function toSchemaProperties(fields: Record<string, OperatorField>): Record<string, object> {
  const properties = Object.entries(fields).map(([name, field]) => [
    name,
    { ...field.schema, description: `${field.description} Default: ${describeDefault(field)}.` },
  ]);
  return Object.fromEntries(properties) as Record<string, object>;
}

function describeDefault({ default: value }: OperatorField): string {
  if (typeof value === 'number') return String(value);
  return `${value.times} times workers.${value.of}`;
}

/** The operators' settings in force: the values of their file, and defaults for all others. */
export function withDefaults(file: OperatorFile, platform: PlatformSettings): OperatorSettings {
  const { moves, replicaGroups, ...plain } = file;
  const { ownerTtlS: electionLeaseTtlS, ...others } = applyDefaults(numberFields, plain, platform);
  return {
    ...others,
    electionLeaseTtlS,
    moves: moves === undefined ? null : applyDefaults(moveFields, moves, platform),
    replicaGroups: replicaGroups === undefined ? null : toReplicaClasses(replicaGroups),
  };
}

function toReplicaClasses(classFields: Record<string, ReplicaClassFields>): ReplicaClasses {
  const classes = Object.entries(classFields).map(([name, { members, sameZone = false }]) => {
    return [name, { members, sameZone }];
  });
  return Object.fromEntries(classes) as ReplicaClasses;
}

function applyDefaults<Name extends string>(
  fields: Record<Name, OperatorField>,
  configured: Partial<Record<Name, number>>,
  { deployment }: PlatformSettings,
): Record<Name, number> {
  const names = Object.keys(fields) as Name[];
  const settings = names.map((name) => {
    const { default: value } = fields[name];
    const defaultValue =
      typeof value === 'number' ? value : value.times * deployment.workers[value.of];
    return [name, configured[name] ?? defaultValue];
  });
  return Object.fromEntries(settings) as Record<Name, number>;
}
