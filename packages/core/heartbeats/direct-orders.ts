/** Orders that are sent to workers between their heartbeats, in direct commands. */
import type { Heartbeat, Order } from '#wire';
import { isStartable, startOrder, stopOrder, taskRef } from './answer-orders.js';
import type { FleetData } from '../fleet-data.js';
import type { Assignment, Machine, StopRequest } from '../model/entities.js';
import type { StartFencing } from './start-fencing.js';
import type { TaskReconciler } from './task-reconciler.js';
import type { UnexpectedAttempts } from './unexpected-attempts.js';

/** In heartbeat intervals: a direct command is sent only if the last heartbeat is younger. */
const RECENT_HEARTBEAT_INTERVALS = 2;
/** In heartbeat intervals: how long no direct command is sent to a worker that refused one. */
const REFUSAL_PAUSE_INTERVALS = 2;

/** The outcome of a direct command. */
export type DirectOutcome =
  /** The worker executed the command; the answer lists the worker's tasks like a heartbeat. */
  | { kind: 'executed'; heartbeat: Heartbeat }
  /** The worker answered that it executed nothing. */
  | { kind: 'refused' }
  /** No answer or an inconclusive one: the command may have been executed, or may still be executed later. */
  | { kind: 'unknown' };

/**
 * Orders that need not wait for the machine's next heartbeat: stops, and starts of recorded assignments. At most one
 * command is in flight to a machine, and none while its fencing token is being raised (docs/safety.md, point 6). Starts
 * of best-effort tasks wait for the heartbeat: direct commands for thousands of short tasks took most of a scheduling
 * round.
 */
export class DirectOrders {
  constructor(
    private readonly fleet: FleetData,
    private readonly fencing: StartFencing,
    private readonly tasks: TaskReconciler,
    private readonly unexpected: UnexpectedAttempts,
  ) {}

  /** Returns the orders to send to the machine now. If there are any, `applyOutcome` must be called with them later. */
  nextOrders(machine: Machine, now: number): Order[] {
    if (!this.isReachable(machine, now)) return [];
    const orders = this.unexpected.takeDirectKills(machine);
    const starts: Assignment[] = [];
    let hasBlockedStarts = false;
    for (const assignment of machine.tasks.values()) {
      const { stop } = assignment;
      if (stop !== null) {
        if (!stop.sentDirectly) orders.push(this.sendStop(assignment, stop));
      } else if (waitsForDirectStart(assignment)) {
        if (isStartable(assignment)) starts.push(assignment);
        else hasBlockedStarts = true;
      }
    }
    orders.push(...this.sendStarts(machine, starts, now));
    if (orders.length > 0) machine.directCommandInFlight = true;
    if (!hasBlockedStarts) this.fleet.machinesWithCommands.delete(machine);
    return orders;
  }

  private sendStop(assignment: Assignment, stop: StopRequest): Order {
    stop.sentDirectly = true;
    return stopOrder(assignment, stop.graceS);
  }

  private sendStarts(machine: Machine, assignments: Assignment[], now: number): Order[] {
    if (assignments.length > 0) this.fencing.beforeDirectStarts(machine);
    return assignments.map((assignment) => {
      assignment.startSent = true;
      this.fencing.startSent(machine, taskRef(assignment), now);
      return startOrder(assignment);
    });
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

  /** Applies the outcome of the orders that `nextOrders` returned. */
  applyOutcome(machine: Machine, orders: Order[], outcome: DirectOutcome, now: number): void {
    const { leaseS, heartbeatIntervalS } = this.fleet.settings;
    machine.directCommandInFlight = false;
    if (outcome.kind === 'unknown') {
      machine.noDirectCommandBefore = now + leaseS;
      return;
    }
    for (const order of orders) {
      if (order.op === 'start') this.fencing[outcome.kind](machine, order);
    }
    if (outcome.kind === 'refused')
      machine.noDirectCommandBefore = now + REFUSAL_PAUSE_INTERVALS * heartbeatIntervalS;
    else this.applyAnswer(machine, outcome.heartbeat, now);
  }

  /**
   * Applies the task list in the answer to a direct command. A task that is missing from the list is not taken as gone:
   * its start may be in a heartbeat answer that is still in flight. The list is ignored if the machine was released or
   * its lease has expired in the meantime, since all its assignments have ended.
   */
  private applyAnswer(machine: Machine, heartbeat: Heartbeat, now: number): void {
    if (machine.state !== 'up' || this.fleet.machines.get(machine.name) !== machine) return;
    if (
      heartbeat.agentEpoch !== machine.agentEpoch ||
      heartbeat.sequence <= machine.lastMessageSequence
    )
      return;
    machine.lastMessageSequence = heartbeat.sequence;
    this.fencing.fencingTokenSeen(machine, heartbeat.fencingToken);
    this.tasks.reconcileListed(machine, heartbeat.tasks, now);
  }
}

/** Whether the assignment's start was not sent yet and is sent directly once the assignment is recorded. */
function waitsForDirectStart(assignment: Assignment): boolean {
  const { job, startSent, reportedState, inherited } = assignment;
  return !startSent && reportedState === null && !inherited && !job.isBestEffort;
}
