/** Applies workers' heartbeats to the fleet's state and makes the answers. */
import { type Heartbeat, type Order, taskName } from '#wire';
import { checkAnswerDelivery, type DeliverySettings } from './answer-delivery.js';
import { ordersForAnswer } from './answer-orders.js';
import type { Assignments } from '../assignments/assignments.js';
import type { FleetData } from '../fleet-data.js';
import type { Machine } from '../model/entities.js';
import type { StartFencing } from './start-fencing.js';
import type { TaskReconciler } from './task-reconciler.js';

/**
 * The answer to a heartbeat. A `late-copy` is a duplicate, or a heartbeat that arrived after a newer one of its machine
 * or after the machine's release. It renews no lease and changes no state, and its answer must not be one that a worker
 * could accept as valid (docs/safety.md, point 6).
 */
export type HeartbeatOutcome = { kind: 'answer'; orders: Order[] } | { kind: 'late-copy' };

const LATE_COPY: HeartbeatOutcome = { kind: 'late-copy' };

/**
 * Maximum number of orders in one answer about tasks that the heartbeat lists. With the starts of a full machine added,
 * the answer stays within its size limit. Further orders follow after the next heartbeat, which lists the remaining
 * tasks.
 */
const MAX_LISTED_ORDERS = 400;

/** Applies heartbeats, in the order of their agent epochs and sequences. Times are seconds of the monotonic clock. */
export class HeartbeatProcessor {
  private readonly deliverySettings: DeliverySettings;

  constructor(
    private readonly fleet: FleetData,
    private readonly assignments: Assignments,
    private readonly fencing: StartFencing,
    private readonly tasks: TaskReconciler,
  ) {
    const { leaseS, heartbeatIntervalS } = fleet.settings;
    this.deliverySettings = { leaseS, heartbeatIntervalS, term: fleet.term };
  }

  /** Applies a heartbeat and returns the answer to it. */
  handle(heartbeat: Heartbeat, now: number): HeartbeatOutcome {
    if (this.fleet.releasedMachines.has(heartbeat.machine)) return LATE_COPY;
    const machine = this.getOrRegisterMachine(heartbeat, now);
    if (heartbeat.agentEpoch < machine.agentEpoch) return LATE_COPY;
    if (heartbeat.agentEpoch === machine.agentEpoch) {
      if (heartbeat.sequence <= machine.lastHeartbeatSequence) return LATE_COPY;
      if (heartbeat.sequence <= machine.lastMessageSequence)
        return this.acceptOvertakenHeartbeat(machine, heartbeat, now);
    }
    checkAnswerDelivery(machine, heartbeat, this.deliverySettings, now);
    if (heartbeat.agentEpoch > machine.agentEpoch) this.agentEpochChanged(machine, now);
    this.markUp(machine, now);
    this.updateMachine(machine, heartbeat, now);
    const listedOrders = this.reconcileTasks(machine, heartbeat, now);
    this.fencing.releaseRetained(machine, now);
    machine.answeredAt = now;
    return {
      kind: 'answer',
      orders: [...listedOrders, ...ordersForAnswer(machine, heartbeat.sequence)],
    };
  }

  private getOrRegisterMachine(heartbeat: Heartbeat, now: number): Machine {
    const known = this.fleet.machines.get(heartbeat.machine);
    if (known) return known;
    const { machine: name, addr, type, zone, spot } = heartbeat;
    return this.fleet.machines.register({ name, addr, type, zone, spot }, 'up', now);
  }

  /**
   * Answers a heartbeat that was overtaken by the newer answer to a direct command. The heartbeat's task list is
   * outdated, but the worker waits for the answer, which renews its lease.
   */
  private acceptOvertakenHeartbeat(
    machine: Machine,
    heartbeat: Heartbeat,
    now: number,
  ): HeartbeatOutcome {
    machine.lastHeartbeatSequence = heartbeat.sequence;
    machine.answeredAt = now;
    return { kind: 'answer', orders: ordersForAnswer(machine, heartbeat.sequence) };
  }

  /**
   * Ends tasks of the older agent epoch: the worker killed and forgot all its tasks when its lease expired. A task that
   * only an earlier term may have started is kept: the older epoch may be known from a delayed heartbeat only, and the
   * task may have been started in the newer epoch.
   */
  private agentEpochChanged(machine: Machine, now: number): void {
    if (machine.agentEpoch > 0) {
      for (const assignment of [...machine.tasks.values()]) {
        const { startSent, reportedState } = assignment;
        if (startSent || reportedState !== null)
          this.assignments.end(assignment, 'lost', false, now);
      }
    }
    this.fencing.agentEpochChanged(machine);
  }

  private markUp(machine: Machine, now: number): void {
    if (machine.state === 'up') return;
    if (machine.state === 'booting') this.fleet.listener.machineUp(machine, now);
    this.fleet.machines.setState(machine, 'up');
    machine.idleSince = now;
  }

  private updateMachine(machine: Machine, heartbeat: Heartbeat, now: number): void {
    machine.addr = heartbeat.addr;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.lastMessageSequence = heartbeat.sequence;
    machine.lastHeartbeatSequence = heartbeat.sequence;
    const reclaimAt = heartbeat.noticeS === null ? null : now + heartbeat.noticeS;
    this.fleet.machines.setReclaimAt(machine, reclaimAt);
    if (heartbeat.fencingToken >= this.fleet.term) machine.termConfirmed = true;
    this.fencing.fencingTokenSeen(machine, heartbeat.fencingToken);
    this.fencing.fenceOverdueStarts(machine, now);
  }

  private reconcileTasks(machine: Machine, heartbeat: Heartbeat, now: number): Order[] {
    const listed = new Set(heartbeat.tasks.map((task) => taskName(task.job, task.index)));
    const orders = limitListedOrders(this.tasks.reconcileListed(machine, heartbeat.tasks, now));
    for (const [name, assignment] of [...machine.tasks]) {
      if (!listed.has(name)) this.tasks.reconcileMissing(assignment, heartbeat, now);
    }
    return orders;
  }
}

/** Cuts the orders to the maximum for one answer. Stop orders take precedence over forget orders. */
function limitListedOrders(orders: Order[]): Order[] {
  if (orders.length <= MAX_LISTED_ORDERS) return orders;
  const stops = orders.filter(({ op }) => op === 'stop');
  const others = orders.filter(({ op }) => op !== 'stop');
  return [...stops, ...others].slice(0, MAX_LISTED_ORDERS);
}
