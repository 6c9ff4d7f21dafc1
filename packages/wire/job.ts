/** A job as its user submits it: the types, and the codec between them and the protocol's words. */
import type { ErrorObject } from 'ajv';
import { MalformedBody } from './cbor.js';
import { compileSchema } from './schema.js';

/** `array`: independent tasks; `gang`: all at once or none; `service`: replicas that run until they are cancelled. */
export type Kind = 'array' | 'gang' | 'service';

/** A job in the terms of the code. Amounts are per task; times are seconds. */
export interface Job {
  /** Chosen by the user, like `j-000412`. */
  id: string;
  /** Jobs with the same objective. */
  class: string;
  /** The team whose quota counts. */
  team: string;
  kind: Kind;
  /** 0 is the most urgent. */
  rank: number;
  tasks: number;
  cpus: number;
  gpus: number;
  /** GB. */
  memory: number;
  /** What a machine must have fetched before a task can start. */
  image: string;
  imageGb: number;
  /** Allowed machine types; null for any. */
  types: string[] | null;
  /** The only allowed zone; null for any. */
  zone: string | null;
  /** All tasks must be in the same zone. */
  oneZone: boolean;
  /** At most half of the tasks, rounded up, may be in one zone. */
  spread: boolean;
  /** The job may use spot machines. */
  spot: boolean;
  /** The user's guess of a task's run time without the fetch; 0 for services. */
  estimateS: number;
  /** Progress between two checkpoints; 0 if the tasks save nothing. */
  checkpointS: number;
  /** What a task needs to save when it is stopped. */
  saveS: number;
  /** When the job should be done, from its submission on; null if there is no deadline. */
  deadlineS: number | null;
  /** Ids of the dependencies: jobs that must be done before any task of this one starts, each once. */

  // eslint-disable-next-line local/retired-words -- the public client API keeps its names
  awaits: readonly string[];
}

/** The state of a job as its user sees it; `pending` means that no task runs. */
export type Phase = 'pending' | 'running' | 'done' | 'aborted';

/** Tasks that a job may have. */
export const MAX_TASKS = 100_000;
/** Bounds on texts, so that any legal job fits one value of the state service. */
const MAX_NAME_LENGTH = 256;
const MAX_TYPES = 4096;
const ID_PATTERN = '^j-[0-9]{1,18}$';
const idRegExp = new RegExp(ID_PATTERN);

const RANKS = ['critical', 'high', 'standard', 'low'];
const KINDS: Record<string, Kind> = { array: 'array', group: 'gang', standing: 'service' };
const WIRE_KINDS: Record<Kind, string> = { array: 'array', gang: 'group', service: 'standing' };

/** Whether a text has the form of a job's id. */
export function isJobId(text: string): boolean {
  return idRegExp.test(text);
}

const name = { type: 'string', minLength: 1, maxLength: MAX_NAME_LENGTH };
const amount = { type: 'number', minimum: 0, maximum: 1e12 };
/** What a submission must hold, in the protocol's words; all else may be null or left out. */
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

  // eslint-disable-next-line local/retired-words -- the protocol's word
  awaits?: string[] | null;
}

const isRawJob = compileSchema<RawJob>('job', schema);

/** Reads a submission; throws MalformedBody, which names the field. */
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

/** Names the field and what is wrong with it. */
function describeError(error: ErrorObject | undefined): string {
  if (!error) return 'body: is invalid';
  const path = error.instancePath.slice(1).replaceAll('/', '.');
  if (error.keyword === 'required') return `${String(error.params.missingProperty)}: is missing`;
  if (error.keyword === 'enum') {
    return `${path}: must be one of ${(error.params.allowedValues as string[]).join(', ')}`;
  }
  return `${path || 'body'}: ${error.message ?? 'is invalid'}`;
}

/** The fields that decide whether a job can run, as its user knows them. */
export const JOB_FIELDS = {
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

/** The protocol's form of a job: what a client submits. Without dependencies it has the form of older versions. */
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

/** A job as its user sees it; `done` and `running` are numbers of tasks. */
export interface JobView {
  id: string;
  phase: Phase;
  done?: number;
  running?: number;
}
