/** The worker's side of the protocol: decodes answers to heartbeats and direct commands. */
import { MalformedBody } from '../cbor.js';
import type { Order } from '../worker-orders.js';
import type { TaskRef } from '../task.js';
import { asFields, integerField, listField, textField, type Fields } from './fields.js';

/** A controller's answer to a heartbeat. */
export interface HeartbeatAnswer {
  /** Null if the answer has no fencing token; the worker must then ignore the answer. */
  fencingToken: number | null;
  orders: Order[];
}

/** Orders that a controller sends to the worker outside of the answer to a heartbeat. */
export interface DirectCommand {
  fencingToken: number;
  agentEpoch: number;
  orders: Order[];
}

/** Decodes the body of an answer to a heartbeat with status 200; throws MalformedBody. */
export function parseHeartbeatAnswer(body: unknown): HeartbeatAnswer {
  const fields = asFields(body);
  const hasFencingToken = fields.baton !== undefined && fields.baton !== null;
  return {
    fencingToken: hasFencingToken ? parseCount(fields, 'baton') : null,
    orders: listField(fields, 'orders', true).map(parseOrder),
  };
}

/** Decodes a direct command; throws MalformedBody, also if the fencing token or the agent epoch is missing. */
export function parseDirectCommand(body: unknown): DirectCommand {
  const fields = asFields(body);
  return {
    fencingToken: parseCount(fields, 'baton'),
    agentEpoch: parseCount(fields, 'tenure'),
    orders: listField(fields, 'orders', true).map(parseOrder),
  };
}

/** The leader that an answer with status 421 names, or null. */
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
      throw new MalformedBody(`${verb} is not an order`);
  }
}

function parseTaskRef(fields: Fields): TaskRef {
  const match = /^(.+)\/([0-9]+)$/.exec(textField(fields, 'piece'));
  if (!match) throw new MalformedBody('piece is not a task name');
  return { job: match[1], index: Number(match[2]), attempt: parseCount(fields, 'tryNo') };
}

function parseGrace(value: unknown): number {
  if (value === undefined || value === null) return 0;
  if (typeof value !== 'number') throw new MalformedBody('windDownS is not a number');
  return value;
}

function parseCount(fields: Fields, name: string): number {
  return integerField(fields, name, 0, Number.MAX_SAFE_INTEGER);
}
