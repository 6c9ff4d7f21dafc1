/** A job as its user submits it: its types, and the codec between them and the protocol's field names. */
import type { ErrorObject } from 'ajv';
import { MalformedBody } from './cbor.js';
import { compileSchema } from './schema.js';

/** `array`: independent tasks; `gang`: all tasks run at once or none; `service`: replicas that run until cancelled. */
export type Kind = 'array' | 'gang' | 'service';

/** A job under the names that the code uses. Resource amounts are per task; times are in seconds. */
export interface Job {
  /** Chosen by the user, such as `j-000412`. */
  id: string;
  /** Name of the job's class; all jobs of a class share its objective. */
  class: string;
  /** The team to whose quota the job is charged. */
  team: string;
  kind: Kind;
  /** Priority; 0 is the most urgent. */
  rank: number;
  tasks: number;
  cpus: number;
  gpus: number;
  /** GB. */
  memory: number;
  /** Name of the image that a machine must fetch before a task can start. */
  image: string;
  imageGb: number;
  /** Allowed machine types; null for any. */
  types: string[] | null;
  /** The only allowed zone; null for any. */
  zone: string | null;
  /** Whether all tasks must be in the same zone. */
  oneZone: boolean;
  /** Whether at most half of the tasks, rounded up, may be in one zone. */
  spread: boolean;
  /** Whether the job may use spot machines. */
  spot: boolean;
  /** The user's estimate of a task's run time, without fetching the image; 0 for services. */
  estimateS: number;
  /** Run time between two checkpoints; 0 if the tasks save no checkpoints. */
  checkpointS: number;
  /** Time that a task needs to save its progress when it is stopped. */
  saveS: number;
  /** Time from submission by which the job should be done; null if there is no deadline. */
  deadlineS: number | null;
  /** Ids of the job's dependencies, without duplicates: jobs that must be done before any of its tasks starts. */

  // eslint-disable-next-line local/retired-words -- the public client API keeps this name
  awaits: readonly string[];
}

/** The state of a job as its user sees it; `pending` means that no task of the job is running. */
export type Phase = 'pending' | 'running' | 'done' | 'aborted';

/** Maximum number of tasks in a job. */
export const MAX_TASKS = 100_000;
/** Limits on names and on the number of machine types: a valid job must fit into one value of the state service. */
const MAX_NAME_LENGTH = 256;
const MAX_TYPES = 4096;
const ID_PATTERN = '^j-[0-9]{1,18}$';
const idRegExp = new RegExp(ID_PATTERN);

const RANKS = ['critical', 'high', 'standard', 'low'];
const KINDS: Record<string, Kind> = { array: 'array', group: 'gang', standing: 'service' };
const WIRE_KINDS: Record<Kind, string> = { array: 'array', gang: 'group', service: 'standing' };

/** Whether a string has the form of a job id. */
export function isJobId(text: string): boolean {
  return idRegExp.test(text);
}

const name = { type: 'string', minLength: 1, maxLength: MAX_NAME_LENGTH };
const amount = { type: 'number', minimum: 0, maximum: 1e12 };
/** Protocol names of the fields that a submission must have; all other fields may be null or missing. */
export const REQUIRED_JOB_FIELDS = [
  'id',
  'lane',
  'crew',
  'shape',
  'rank',
  'pieces',
  'cores',
  'accelerators',
  'ramGb',
  'bundle',
  'sizeGb',
  'oneZone',
  'apart',
  'loaner',
  'guessS',
  'snapshotEveryS',
  'snapshotS',
] as const;

const schema = {
  type: 'object',
  required: [...REQUIRED_JOB_FIELDS],
  properties: {
    id: { type: 'string', pattern: ID_PATTERN },
    lane: name,
    crew: name,
    shape: { enum: Object.keys(KINDS) },
    rank: { enum: RANKS },
    pieces: { type: 'integer', minimum: 1, maximum: MAX_TASKS },
    cores: amount,
    accelerators: amount,
    ramGb: amount,
    bundle: name,
    sizeGb: amount,
    rigs: { type: ['array', 'null'], items: name, maxItems: MAX_TYPES },
    yard: { anyOf: [name, { type: 'null' }] },
    oneZone: { type: 'boolean' },
    apart: { type: 'boolean' },
    loaner: { type: 'boolean' },
    guessS: amount,
    snapshotEveryS: amount,
    snapshotS: amount,
    dueS: { anyOf: [amount, { type: 'null' }] },
    awaits: { type: ['array', 'null'], items: { type: 'string', pattern: ID_PATTERN } },
  },
};

interface RawJob {
  id: string;
  lane: string;
  crew: string;
  shape: string;
  rank: string;
  pieces: number;
  cores: number;
  accelerators: number;
  ramGb: number;
  bundle: string;
  sizeGb: number;
  rigs?: string[] | null;
  yard?: string | null;
  oneZone: boolean;
  apart: boolean;
  loaner: boolean;
  guessS: number;
  snapshotEveryS: number;
  snapshotS: number;
  dueS?: number | null;

  // eslint-disable-next-line local/retired-words -- the protocol's field name
  awaits?: string[] | null;
}

const isRawJob = compileSchema<RawJob>('job', schema);

/** Decodes a submission; throws MalformedBody, which names the invalid field. */
export function parseJob(raw: unknown): Job {
  if (!isRawJob(raw)) throw new MalformedBody(describeError(isRawJob.errors?.[0]));
  return {
    id: raw.id,
    class: raw.lane,
    team: raw.crew,
    kind: KINDS[raw.shape],
    rank: RANKS.indexOf(raw.rank),
    tasks: raw.pieces,
    cpus: raw.cores,
    gpus: raw.accelerators,
    memory: raw.ramGb,
    image: raw.bundle,
    imageGb: raw.sizeGb,
    types: raw.rigs ?? null,
    zone: raw.yard ?? null,
    oneZone: raw.oneZone,
    spread: raw.apart,
    spot: raw.loaner,
    estimateS: raw.guessS,
    checkpointS: raw.snapshotEveryS,
    saveS: raw.snapshotS,
    deadlineS: raw.dueS ?? null,
    awaits: [...new Set(raw.awaits ?? [])],
  };
}

/** Describes a validation error: the invalid field and the reason. */
function describeError(error: ErrorObject | undefined): string {
  if (!error) return 'body: is invalid';
  const path = error.instancePath.slice(1).replaceAll('/', '.');
  if (error.keyword === 'required') return `${String(error.params.missingProperty)}: is missing`;
  if (error.keyword === 'enum') {
    return `${path}: must be one of ${(error.params.allowedValues as string[]).join(', ')}`;
  }
  return `${path || 'body'}: ${error.message ?? 'is invalid'}`;
}

/** Protocol names of the fields that decide whether a job can run, for error messages about a job. */
export const JOB_FIELD_NAMES = {
  team: 'crew',
  tasks: 'pieces',
  cpus: 'cores',
  gpus: 'accelerators',
  memory: 'ramGb',
  types: 'rigs',
  zone: 'yard',
  spread: 'apart',
  awaits: 'awaits',
} as const;

/** Encodes a job as a client submits it; without dependencies, as in older versions, which do not have `awaits`. */
export function jobToWire(job: Job): Record<string, unknown> {
  const dependencies = job.awaits;
  if (dependencies.length === 0) return jobToWireWithoutDependencies(job);
  return { ...jobToWireWithoutDependencies(job), awaits: [...dependencies] };
}

function jobToWireWithoutDependencies(job: Job): Record<string, unknown> {
  return {
    id: job.id,
    lane: job.class,
    crew: job.team,
    shape: WIRE_KINDS[job.kind],
    rank: RANKS[job.rank],
    pieces: job.tasks,
    cores: job.cpus,
    accelerators: job.gpus,
    ramGb: job.memory,
    bundle: job.image,
    sizeGb: job.imageGb,
    rigs: job.types,
    yard: job.zone,
    oneZone: job.oneZone,
    apart: job.spread,
    loaner: job.spot,
    guessS: job.estimateS,
    snapshotEveryS: job.checkpointS,
    snapshotS: job.saveS,
    dueS: job.deadlineS,
  };
}

/** Status of a job as its user sees it; `done` and `running` are numbers of tasks. */
export interface JobView {
  id: string;
  phase: Phase;
  done?: number;
  running?: number;
}
