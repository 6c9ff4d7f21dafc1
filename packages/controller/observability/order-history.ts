/** The latest orders that a leader has sent, to explain an attempt that should not exist. */
import type { Machine } from '#core';
import type { Order, TaskRef } from '#wire';
import type { Log } from './log.js';

/** Orders that are kept. Enough for the longest delay of a copy at the order rate of some thousand machines. */
const ORDERS_KEPT = 8192;

/** How an order was sent: in the answer to a heartbeat, or in a direct command. */
export type OrderRoute = 'answer' | 'direct';

/** An order that was sent, and what the leader knew of the worker then. */
export interface SentOrder extends TaskRef {
  op: Order['op'];
  machine: string;
  route: OrderRoute;
  /** Seconds of the monotonic clock. */
  sentAt: number;
  /** Fencing token of the message, and the highest one that the worker had shown. */
  fencingToken: number;
  shownFencingToken: number;
  agentEpoch: number;
}

/** Logs each order at the level `debug` and keeps the latest ones in memory. */
export class OrderHistory {
  private readonly orders: SentOrder[] = [];
  /** Index at which the next order replaces the oldest one. */
  private next = 0;

  constructor(private readonly log: Log) {}

  /** Adds orders that are being sent to the machine. `sentAt` is in seconds of the monotonic clock. */
  add(machine: Machine, route: OrderRoute, orders: readonly Order[], sentAt: number): void {
    for (const { op, job, index, attempt } of orders) {
      const { name, fencingToken, shownFencingToken, agentEpoch } = machine;
      const workerState = { fencingToken, shownFencingToken, agentEpoch };
      const sent = { op, job, index, attempt, machine: name, route, sentAt, ...workerState };
      this.orders[this.next] = sent;
      this.next = (this.next + 1) % ORDERS_KEPT;
      this.log.debug(sent, 'order sent to worker');
    }
  }

  /** The kept orders for all attempts of the task on any machine, the oldest first. */
  ofTask({ job, index }: TaskRef): SentOrder[] {
    return this.orders
      .filter((order) => order.job === job && order.index === index)
      .sort((one, other) => one.sentAt - other.sentAt);
  }
}
