/** A worker's heartbeat: its types, and the codec between them and the protocol's field names. */
import { MalformedBody } from './cbor.js';
import { compileSchema } from './schema.js';
import { taskName, type TaskRef } from './task.js';

/** State of a task on its machine; a task stays `exited` until a controller orders the worker to forget it. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** Why a task exited (docs/glossary.md). */
export type ExitCause =
  'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

/** Status of one task on its worker. */
export interface TaskStatus extends TaskRef {
  state: TaskState;
  /** Null unless the task has exited. */
  cause: ExitCause | null;
  /** Whether the task's progress was saved when it was stopped. */
  checkpointed: boolean;
}

/** A worker's heartbeat, with the status of all its tasks. */
export interface Heartbeat {
  machine: string;
  /** HOST:PORT where the worker accepts direct commands. */
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Increases each time the worker's lease expires. */
  agentEpoch: number;
  /** Sequence number of the heartbeat within its agent epoch. */
  sequence: number;
  /** The largest fencing token that the worker has accepted. */
  fencingToken: number;
  /** Seconds until the cloud reclaims the machine; null if the cloud has not announced this. */
  noticeS: number | null;
  tasks: TaskStatus[];
}

const STATES: Record<string, TaskState> = {
  pulling: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const CAUSES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  mates_gone: 'peers',
  incomplete: 'alone',
  error: 'error',
  no_room: 'no_room',
  busy: 'busy',
  no_such: 'unknown',
};

const count = { type: 'integer', minimum: 0 };
const text = { type: 'string', minLength: 1, maxLength: 200 };
const schema = {
  type: 'object',
  required: ['host', 'address', 'rig', 'yard', 'loaner', 'tenure', 'tally', 'baton', 'pieces'],
  properties: {
    host: text,
    address: text,
    rig: text,
    yard: text,
    loaner: { type: 'boolean' },
    tenure: count,
    tally: count,
    baton: count,
    warningS: { type: ['number', 'null'] },
    pieces: {
      type: 'array',
      items: {
        type: 'object',
        required: ['piece', 'tryNo', 'phase'],
        properties: {
          piece: { type: 'string', pattern: '^[^ /]+/[0-9]{1,9}$' },
          tryNo: count,
          phase: { enum: Object.keys(STATES) },
          cause: { type: ['string', 'null'] },
          kept: { type: ['boolean', 'null'] },
        },
      },
    },
  },
};

interface RawHeartbeat {
  host: string;
  address: string;
  rig: string;
  yard: string;
  loaner: boolean;
  tenure: number;
  tally: number;
  baton: number;
  warningS?: number | null;
  pieces: RawTask[];
}

interface RawTask {
  piece: string;
  tryNo: number;
  phase: string;
  cause?: string | null;
  kept?: boolean | null;
}

const isRawHeartbeat = compileSchema<RawHeartbeat>('heartbeat', schema);

/** Decodes a worker's heartbeat; throws MalformedBody, which names the invalid field. */
export function parseHeartbeat(raw: unknown): Heartbeat {
  if (!isRawHeartbeat(raw)) {
    const first = isRawHeartbeat.errors?.[0];
    const path = first?.instancePath ?? '';
    throw new MalformedBody(`${path === '' ? 'body' : path} ${first?.message ?? 'invalid'}`);
  }
  return {
    machine: raw.host,
    addr: raw.address,
    type: raw.rig,
    zone: raw.yard,
    spot: raw.loaner,
    agentEpoch: raw.tenure,
    sequence: raw.tally,
    fencingToken: raw.baton,
    noticeS: raw.warningS ?? null,
    tasks: raw.pieces.map(parseTask),
  };
}

function parseTask({ piece, tryNo, phase, cause, kept }: RawTask): TaskStatus {
  const slash = piece.lastIndexOf('/');
  return {
    job: piece.slice(0, slash),
    index: Number(piece.slice(slash + 1)),
    attempt: tryNo,
    state: STATES[phase],
    // A cause that this version does not know counts as `error`.
    cause: cause ? (CAUSES[cause] ?? 'error') : null,
    checkpointed: kept === true,
  };
}

const WIRE_STATES = invert(STATES);
const WIRE_CAUSES = invert(CAUSES);

function invert<T extends string>(map: Record<string, T>): Record<T, string> {
  return Object.fromEntries(Object.entries(map).map(([name, value]) => [value, name])) as Record<
    T,
    string
  >;
}

/** Encodes a heartbeat as a worker sends it. */
export function heartbeatToWire(heartbeat: Heartbeat): Record<string, unknown> {
  return {
    host: heartbeat.machine,
    address: heartbeat.addr,
    rig: heartbeat.type,
    yard: heartbeat.zone,
    loaner: heartbeat.spot,
    tenure: heartbeat.agentEpoch,
    tally: heartbeat.sequence,
    baton: heartbeat.fencingToken,
    warningS: heartbeat.noticeS,
    pieces: heartbeat.tasks.map(taskToWire),
  };
}

function taskToWire({ job, index, attempt, state, cause, checkpointed }: TaskStatus) {
  return {
    piece: taskName(job, index),
    tryNo: attempt,
    phase: WIRE_STATES[state],
    ...(cause ? { cause: WIRE_CAUSES[cause] } : {}),
    ...(checkpointed ? { kept: true } : {}),
  };
}
