/** The operators' file: its fields, schema and defaults, and how its names map to those of the code. */
import type { ReplicaClasses } from '#replicas';
import { MAX_TASKS } from '#wire';
import type { PlatformSettings } from './platform-settings.js';

/** The operators' own settings, in force; docs/operator.schema.json describes the file. */
export interface OperatorSettings extends Omit<NumberSettings, 'ownerTtlS'> {
  /** Time to live of the election lease, seconds; `ownerTtlS` in the file. */
  electionLeaseTtlS: number;
  /** Planned moves of the shard; null: they are switched off, and nothing of them is loaded. */
  moves: MoveSettings | null;
  /** Classes whose replicas have several members; null: switched off, and nothing of it is loaded. */
  replicaGroups: ReplicaClasses | null;
}

/** What the operators' file may hold. */
export type OperatorFile = Partial<NumberSettings> & {
  moves?: Partial<MoveSettings>;
  replicaGroups?: Record<string, ReplicaClassFields>;
};

/** What the file holds of one class. */
interface ReplicaClassFields {
  members: number | 'job';
  sameZone?: boolean;
}

/** How long a planned move of the shard may take; seconds. */
export interface MoveSettings {
  prepareS: number;
  switchS: number;
}

/** Settings that are one number each, by their names in the file. */
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

/** One setting: what it is, which values are legal, and what holds if the operators don't set it. */
interface OperatorField {
  description: string;
  schema: Record<string, unknown>;
  default: number | MultipleOf;
}

/** A default that is a multiple of one of the platform's figures. */
interface MultipleOf {
  times: number;
  of: 'lease_s' | 'report_s';
}

const positive = { type: 'number', exclusiveMinimum: 0 };
const nonNegative = { type: 'number', minimum: 0 };
const ratio = { type: 'number', minimum: 0, maximum: 1 };
/** What the state service accepts as a lease's time to live; seconds. */
const leaseTtl = { type: 'number', minimum: 0.1, maximum: 600 };

const numberFields: Record<keyof NumberSettings, OperatorField> = {
  shareHalfLifeS: {
    description: 'Half-life of the service counters, seconds.',
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
      "A gang may be stopped at its lease end if a waiting team's index is below this ratio of its own team's.",
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
      'How long work of higher rank or within a guarantee waits before it stops other work, seconds.',
    schema: nonNegative,
    default: { times: 2, of: 'report_s' },
  },
  ownerTtlS: {
    description: 'Time to live of the grant that holds a part, seconds.',
    schema: leaseTtl,
    default: { times: 0.25, of: 'lease_s' },
  },
  reserveSigmas: {
    description:
      'Standard deviations of the arrivals within a boot time that are kept free for classes with a short wait.',
    schema: nonNegative,
    default: 2,
  },
  idleHoldS: {
    description:
      'How long an empty machine that is not needed is kept, seconds; a third of it once nothing has come for half of it.',
    schema: nonNegative,
    default: { times: 6, of: 'lease_s' },
  },
  arrivalMemoryS: {
    description: 'Averaging time of arrival rates, seconds.',
    schema: positive,
    default: { times: 12, of: 'lease_s' },
  },
};

const moveFields: Record<keyof MoveSettings, OperatorField> = {
  prepareS: {
    description:
      'How long the owner waits for the target of a move to be ready, and for its own decisions to stop, seconds.',
    schema: positive,
    default: { times: 8, of: 'report_s' },
  },
  switchS: {
    description:
      'How long the owner, which decides nothing meanwhile, waits for the target to take the part, seconds.',
    schema: positive,
    default: { times: 2, of: 'report_s' },
  },
};

const replicaGroupsSchema = {
  type: 'object',
  description:
    'Classes of services whose replicas span several tasks, by name. Each replica starts, moves and is repaired as a whole. Switched off if the section is absent.',
  additionalProperties: {
    type: 'object',
    required: ['members'],
    properties: {
      members: {
        description:
          'Tasks of one replica: tasks 0 to members - 1 are the first. "job": all tasks of a job are one replica.',
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
        'Planned moves of the part from one controller to another. Switched off if the section is absent.',
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

/** What is in force: the operators' own values, and defaults for the rest. */
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
