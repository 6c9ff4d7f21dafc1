/** Attempts that run on a machine although no assignment names them there. */
import { type Order, taskName, type TaskRef, type TaskStatus } from '#wire';
import type { FleetData } from '../fleet-data.js';
import type { Machine } from '../model/entities.js';
import { killOrder } from './answer-orders.js';

/**
 * Finds attempts that run without an assignment, such as one that began again after it was forgotten or replaced. None
 * should exist. One that does is stopped at once, by the answer to the heartbeat and by a direct command.
 *
 * A leader's first heartbeat of a machine may be a late copy, and one of an expired lease was delayed: both list what has
 * ended since. So an attempt is reported only once a heartbeat confirms it that has shown this term's fencing token and
 * is not of an expired lease.
 */
export class UnexpectedAttempts {
  /** Number of such attempts that were reported in this term. */
  total = 0;
  private hasNew = false;

  constructor(private readonly fleet: FleetData) {}

  /** Notes a live attempt that is being assigned only to stop it. */
  adopted(machine: Machine, attempt: TaskRef, now: number): void {
    this.add(machine, attempt, null, now);
  }

  /** Notes a live attempt beside another one of its task that stays assigned, and returns the order to kill it. */
  kill(machine: Machine, attempt: TaskRef, now: number): Order {
    const order = killOrder(attempt);
    const known = machine.unexpectedAttempts.get(nameOf(attempt));
    if (known?.attempt !== attempt.attempt) this.add(machine, attempt, order, now);
    return order;
  }

  private add(machine: Machine, attempt: TaskRef, directKill: Order | null, now: number): void {
    const isReported = isTaskListCurrent(machine);
    const unexpected = { attempt: attempt.attempt, directKill, isReported };
    machine.unexpectedAttempts.set(nameOf(attempt), unexpected);
    this.fleet.machinesWithCommands.add(machine);
    this.hasNew = true;
    if (isReported) this.announce(machine, attempt, now);
  }

  /** Returns the kill orders that no direct command to the machine has carried yet. */
  takeDirectKills(machine: Machine): Order[] {
    if (machine.unexpectedAttempts.size === 0) return [];
    const orders: Order[] = [];
    for (const unexpected of machine.unexpectedAttempts.values()) {
      if (unexpected.directKill !== null) orders.push(unexpected.directKill);
      unexpected.directKill = null;
    }
    return orders;
  }

  /** Applies a newer task list of the machine: drops attempts that are gone, and reports those that it confirms. */
  followUp(machine: Machine, tasks: readonly TaskStatus[], now: number): void {
    for (const [name, unexpected] of machine.unexpectedAttempts) {
      const task = tasks.find(
        (each) => each.attempt === unexpected.attempt && nameOf(each) === name,
      );
      const wasRunning = task && (task.state !== 'exited' || task.cause === 'stopped');
      if (wasRunning && isTaskListCurrent(machine) && !unexpected.isReported) {
        unexpected.isReported = true;
        this.announce(machine, task, now);
      }
      if (task === undefined || task.state === 'exited') machine.unexpectedAttempts.delete(name);
    }
  }

  /** Whether attempts were found since the last call, so that a direct command should be sent at once. */
  takeNew(): boolean {
    const { hasNew } = this;
    this.hasNew = false;
    return hasNew;
  }

  private announce(machine: Machine, { job, index, attempt }: TaskRef, now: number): void {
    this.total++;
    this.fleet.listener.attemptUnexpected(machine, { job, index, attempt }, now);
  }
}

/** Whether the newest task list of the machine certainly shows what ran there in this term. */
function isTaskListCurrent({ termConfirmed, agentEpoch, expiredEpoch }: Machine): boolean {
  return termConfirmed && agentEpoch > expiredEpoch;
}

function nameOf({ job, index }: TaskRef): string {
  return taskName(job, index);
}
