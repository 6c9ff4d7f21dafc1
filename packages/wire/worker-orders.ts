/** The messages that a controller sends to a worker: answers to heartbeats, direct commands and redirects. */
import { taskName, type TaskRef } from './task.js';

/** An order to a worker about one attempt at a task; `graceS` is the time to save before a stop, in seconds. */
export type Order =
  | ({ op: 'start' } & TaskRef)
  | ({ op: 'stop'; graceS: number } & TaskRef)
  | ({ op: 'forget' } & TaskRef);

/** Encodes the body of an answer to a heartbeat with status 200. */
export function answerToWire(fencingToken: number, orders: Order[]): Record<string, unknown> {
  return { baton: fencingToken, orders: orders.map(orderToWire) };
}

/** Encodes the body of a direct command. */
export function commandToWire(
  fencingToken: number,
  agentEpoch: number,
  orders: Order[],
): Record<string, unknown> {
  return { baton: fencingToken, tenure: agentEpoch, orders: orders.map(orderToWire) };
}

/** Encodes a follower's redirect to the leader; without a leader's name the worker tries the next controller. */
export function redirectToWire(leader: string | null): Record<string, unknown> {
  return leader === null ? {} : { overseer: leader };
}

function orderToWire(order: Order): Record<string, unknown> {
  const piece = taskName(order.job, order.index);
  if (order.op === 'stop') {
    return { verb: 'halt', piece, tryNo: order.attempt, windDownS: order.graceS };
  }
  return { verb: order.op, piece, tryNo: order.attempt };
}
