import { MalformedBody } from './cbor.js';
import { compileSchema } from './schema.js';

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type Cause =
  'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface TaskReport {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  cause: Cause | null;
  saved: boolean;
}

export interface Report {
  machine: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  token: number;
  noticeS: number | null;
  tasks: TaskReport[];
}

export interface TaskRef {
  job: string;
  index: number;
  attempt: number;
}

export type Order =
  | ({ op: 'start' } & TaskRef)
  | ({ op: 'stop'; graceS: number } & TaskRef)
  | ({ op: 'forget' } & TaskRef);

const STATES: Record<string, TaskState> = {
  pulling: 'fetching',
  gathering: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const CAUSES: Record<string, Cause> = {
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

interface RawReport {
  host: string;
  address: string;
  rig: string;
  yard: string;
  loaner: boolean;
  tenure: number;
  tally: number;
  baton: number;
  warningS?: number | null;
  pieces: {
    piece: string;
    tryNo: number;
    phase: string;
    cause?: string | null;
    kept?: boolean | null;
  }[];
}

const valid = compileSchema<RawReport>(schema);

export function taskName(job: string, index: number): string {
  return `${job}/${index}`;
}

/** Reads a worker's report, or throws MalformedBody naming the field. */
export function parseReport(raw: unknown): Report {
  if (!valid(raw)) {
    const first = valid.errors?.[0];
    throw new MalformedBody(`${first?.instancePath || 'body'} ${first?.message ?? 'invalid'}`);
  }
  return {
    machine: raw.host,
    addr: raw.address,
    type: raw.rig,
    zone: raw.yard,
    spot: raw.loaner,
    session: raw.tenure,
    seq: raw.tally,
    token: raw.baton,
    noticeS: raw.warningS ?? null,
    tasks: raw.pieces.map((p) => {
      const slash = p.piece.lastIndexOf('/');
      return {
        job: p.piece.slice(0, slash),
        index: Number(p.piece.slice(slash + 1)),
        attempt: p.tryNo,
        state: STATES[p.phase],
        cause: p.cause ? (CAUSES[p.cause] ?? 'error') : null,
        saved: p.kept === true,
      };
    }),
  };
}

const STATE_NAMES = invert(STATES);
const CAUSE_NAMES = invert(CAUSES);

function invert<T extends string>(map: Record<string, T>): Record<T, string> {
  return Object.fromEntries(Object.entries(map).map(([k, v]) => [v, k])) as Record<T, string>;
}

/** The protocol's form of a report; what a worker sends. */
export function reportToWire(r: Report): Record<string, unknown> {
  return {
    host: r.machine,
    address: r.addr,
    rig: r.type,
    yard: r.zone,
    loaner: r.spot,
    tenure: r.session,
    tally: r.seq,
    baton: r.token,
    warningS: r.noticeS,
    pieces: r.tasks.map((t) => ({
      piece: taskName(t.job, t.index),
      tryNo: t.attempt,
      phase: STATE_NAMES[t.state],
      ...(t.cause ? { cause: CAUSE_NAMES[t.cause] } : {}),
      ...(t.saved ? { kept: true } : {}),
    })),
  };
}

function orderToWire(o: Order): Record<string, unknown> {
  const piece = taskName(o.job, o.index);
  if (o.op === 'stop') {
    return { verb: 'halt', piece, tryNo: o.attempt, windDownS: o.graceS };
  }
  return { verb: o.op, piece, tryNo: o.attempt };
}

export function answerToWire(token: number, orders: Order[]): Record<string, unknown> {
  return { baton: token, orders: orders.map(orderToWire) };
}
/** The body of a direct command. */
export function commandToWire(token: number, session: number, orders: Order[]) {
  return { baton: token, tenure: session, orders: orders.map(orderToWire) };
}

/** Where a worker should report instead; without a name it tries the next controller. */
export function redirectToWire(owner: string | null): Record<string, unknown> {
  return owner === null ? {} : { overseer: owner };
}
