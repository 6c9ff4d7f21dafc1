/** The worker's side of its interface: answers to heartbeats and direct commands, as it reads them. */
import { MalformedBody } from '../cbor.js';
import type { Order } from '../worker-orders.js';
import type { TaskRef } from '../task.js';
import { asFields, integerField, listField, textField, type Fields } from './fields.js';

/** What a controller answers to a heartbeat. */
export interface HeartbeatAnswer {
  /** Null: the answer has none, and must be ignored. */
  fencingToken: number | null;
  orders: Order[];
}

/** A command that comes to the worker directly. */
export interface DirectCommand {
  fencingToken: number;
  agentEpoch: number;
  orders: Order[];
}

/** Reads the body of a 200 to a heartbeat; throws MalformedBody. */
export function parseHeartbeatAnswer(body: unknown): HeartbeatAnswer {
  const fields = asFields(body);
  const hasFencingToken = fields.baton !== undefined && fields.baton !== null;
  return {
    fencingToken: hasFencingToken ? parseCount(fields, 'baton') : null,
    orders: listField(fields, 'orders', true).map(parseOrder),
  };
}

/** Reads a direct command; throws MalformedBody, also if fencing token or agent epoch is missing. */
export function parseDirectCommand(body: unknown): DirectCommand {
  const fields = asFields(body);
  return {
    fencingToken: parseCount(fields, 'baton'),
    agentEpoch: parseCount(fields, 'tenure'),
    orders: listField(fields, 'orders', true).map(parseOrder),
  };
}

/** The controller that a 421 names, or null. */
export function parseRedirect(body: unknown): string | null {
  const leader = (body as Fields | null)?.overseer;
  return typeof leader === 'string' ? leader : null;
}

function parseOrder(raw: unknown): Order {
  const fields = asFields(raw, 'order');
  const ref = parseTaskRef(fields);
  const verb = textField(fields, 'verb');
  switch (verb) {
    case 'start':
    case 'forget':
      return { op: verb, ...ref };
    case 'halt':
      return { op: 'stop', graceS: parseGrace(fields.windDownS), ...ref };
    default:
      throw new MalformedBody(`${verb} is no command`);
  }
}

function parseTaskRef(fields: Fields): TaskRef {
  const match = /^(.+)\/([0-9]+)$/.exec(textField(fields, 'piece'));
  if (!match) throw new MalformedBody('piece is no name of a task');
  return { job: match[1], index: Number(match[2]), attempt: parseCount(fields, 'tryNo') };
}

function parseGrace(value: unknown): number {
  if (value === undefined || value === null) return 0;
  if (typeof value !== 'number') throw new MalformedBody('windDownS is no number');
  return value;
}

function parseCount(fields: Fields, name: string): number {
  return integerField(fields, name, 0, Number.MAX_SAFE_INTEGER);
}
