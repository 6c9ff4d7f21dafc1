/** Orders that are sent to workers between their heartbeats, in direct commands. */
import type { Heartbeat, Order } from '#wire';
import { isStartable, startOrder, stopOrder, taskRef } from './answer-orders.js';
import type { FleetData } from '../fleet-data.js';
import type { Assignment, Machine, StopRequest } from '../model/entities.js';
import type { StartFencing } from './start-fencing.js';
import type { TaskReconciler } from './task-reconciler.js';

/** In heartbeat intervals: how recent the last heartbeat must be. */
const RECENT_HEARTBEAT_INTERVALS = 2;
/** In heartbeat intervals: the pause after a refusal. */
const REFUSAL_PAUSE_INTERVALS = 2;

/** The outcome of a direct command. */
export type DirectOutcome =
  /** The worker executed it; its answer lists its tasks like a heartbeat. */
  | { kind: 'executed'; heartbeat: Heartbeat }
  /** The worker answered that it executed nothing. */
  | { kind: 'refused' }
  /** No answer, or one that tells nothing: it may have been executed, or may be yet. */
  | { kind: 'unknown' };

/**
 * Orders that need not wait for the machine's next heartbeat: starts that are recorded, and stops. At most one command
 * is in flight to a machine, and none while its fencing token is being raised (docs/safety.md, point 6). Starts of
 * best-effort tasks do wait: calls for thousands of short tasks took most of a round.
 */
export class DirectOrders {
  constructor(
    private readonly fleet: FleetData,
    private readonly fencing: StartFencing,
    private readonly tasks: TaskReconciler,
  ) {}

  /** The orders to send to the machine now; unless empty, `finish` must follow. */
  nextOrders(machine: Machine, now: number): Order[] {
    if (!this.isReachable(machine, now)) return [];
    const orders: Order[] = [];
    let hasBlockedStarts = false;
    for (const assignment of machine.tasks.values()) {
      const { stop } = assignment;
      if (stop !== null) {
        if (!stop.sentDirectly) orders.push(this.sendStop(assignment, stop));
      } else if (waitsForDirectStart(assignment)) {
        if (isStartable(assignment)) orders.push(this.sendStart(assignment, now));
        else hasBlockedStarts = true;
      }
    }
    if (orders.length > 0) machine.directCommandInFlight = true;
    if (!hasBlockedStarts) this.fleet.machinesWithCommands.delete(machine);
    return orders;
  }

  private sendStop(assignment: Assignment, stop: StopRequest): Order {
    stop.sentDirectly = true;
    return stopOrder(assignment, stop.graceS);
  }

  private sendStart(assignment: Assignment, now: number): Order {
    assignment.startSent = true;
    this.fencing.startSent(assignment.machine, taskRef(assignment), now);
    return startOrder(assignment);
  }

  private isReachable(machine: Machine, now: number): boolean {
    return (
      machine.state === 'up' &&
      machine.termConfirmed &&
      !machine.directCommandInFlight &&
      machine.fence === 'none' &&
      now >= machine.noDirectCommandBefore &&
      now - machine.answeredAt < RECENT_HEARTBEAT_INTERVALS * this.fleet.settings.heartbeatIntervalS
    );
  }

  /** Applies the outcome of the orders that `nextOrders` gave. */
  applyOutcome(machine: Machine, orders: Order[], outcome: DirectOutcome, now: number): void {
    const { leaseS, heartbeatIntervalS } = this.fleet.settings;
    machine.directCommandInFlight = false;
    if (outcome.kind === 'unknown') {
      machine.noDirectCommandBefore = now + leaseS;
      return;
    }
    for (const order of orders) {
      if (order.op === 'start') this.fencing.acknowledged(machine, order);
    }
    if (outcome.kind === 'refused')
      machine.noDirectCommandBefore = now + REFUSAL_PAUSE_INTERVALS * heartbeatIntervalS;
    else this.applyAnswer(machine, outcome.heartbeat, now);
  }

  /**
   * It tells nothing of starts in an answer that may still be in flight, so absence proves nothing. If the
   * machine was released or its lease has expired since, all that it held is gone, whatever it lists.
   */
  private applyAnswer(machine: Machine, heartbeat: Heartbeat, now: number): void {
    if (machine.state !== 'up' || this.fleet.machines.get(machine.name) !== machine) return;
    if (
      heartbeat.agentEpoch !== machine.agentEpoch ||
      heartbeat.sequence <= machine.lastMessageSequence
    )
      return;
    machine.lastMessageSequence = heartbeat.sequence;
    this.tasks.reconcileListed(machine, heartbeat.tasks, now);
  }
}

/** Whether its start was not sent yet and is to be sent directly once it is recorded. */
function waitsForDirectStart(assignment: Assignment): boolean {
  const { job, startSent, reportedState, inherited } = assignment;
  return !startSent && reportedState === null && !inherited && !job.isBestEffort;
}
