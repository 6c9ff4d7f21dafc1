/** What a controller sends to a worker: answers to its heartbeats, direct commands and redirects. */
import { taskName, type TaskRef } from './task.js';

/** What a worker is to do with one attempt; `graceS` is the time to save before a stop, in seconds. */
export type Order =
  | ({ op: 'start' } & TaskRef)
  | ({ op: 'stop'; graceS: number } & TaskRef)
  | ({ op: 'forget' } & TaskRef);

/** The body of a 200 to a heartbeat. */
export function answerToWire(fencingToken: number, orders: Order[]): Record<string, unknown> {
  return { baton: fencingToken, orders: orders.map(orderToWire) };
}

/** The body of a direct command. */
export function commandToWire(
  fencingToken: number,
  agentEpoch: number,
  orders: Order[],
): Record<string, unknown> {
  return { baton: fencingToken, tenure: agentEpoch, orders: orders.map(orderToWire) };
}

/** Names the controller that leads, for a worker that reached a follower; without a name it tries the next one. */
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
