/** Prevents unacknowledged direct starts from taking effect late. */
import { taskName, type TaskRef } from '#wire';
import type { FleetData } from '../fleet-data.js';
import type { Machine } from '../model/entities.js';

/** In heartbeat intervals: how long a start may be unacknowledged before it is fenced off. */
const FENCE_AFTER_INTERVALS = 2;

/** Rank of a machine record that is written before the records of all starts. */
const MOST_URGENT = 0;

/**
 * A direct start that was not answered may arrive at any later time in the same agent epoch under the same fencing
 * token. Such starts are fenced off by raising the machine's fencing token to the revision of a new record of the
 * machine. Once a heartbeat carries that fencing token or a new epoch, none of them can take effect (docs/safety.md,
 * point 6).
 */
export class StartFencing {
  /** The largest fencing token that any answer of this term may carry. A larger one was issued by another leader. */
  newestFencingToken: number;

  constructor(private readonly fleet: FleetData) {
    this.newestFencingToken = fleet.term;
  }

  /** Notes that a direct start is being sent. */
  startSent(machine: Machine, start: TaskRef, now: number): void {
    machine.unacknowledgedStarts.set(startKey(start), now);
  }

  /** Notes that the worker has answered the direct start, by executing or refusing it. */
  acknowledged(machine: Machine, start: TaskRef): void {
    machine.unacknowledgedStarts.delete(startKey(start));
  }

  /** Whether the start may still arrive at the worker. */
  mayArrive(machine: Machine, start: TaskRef): boolean {
    return (
      machine.unacknowledgedStarts.size > 0 && machine.unacknowledgedStarts.has(startKey(start))
    );
  }

  /** Drops all unacknowledged starts: a worker in a new agent epoch ignores commands for an older one. */
  agentEpochChanged(machine: Machine): void {
    machine.unacknowledgedStarts.clear();
  }

  /** Handles the fencing token of a heartbeat: direct commands with a lower one no longer have any effect. */
  fencingTokenSeen(machine: Machine, fencingToken: number): void {
    // No direct command is sent while the fencing token is being raised, so all unacknowledged starts carry a lower one.
    if (machine.fence !== 'recorded' || fencingToken < machine.fencingToken) return;
    machine.unacknowledgedStarts.clear();
    machine.fence = 'none';
  }

  /** Requests a new record of the machine if a start has been unacknowledged for too long. */
  fenceOverdueStarts(machine: Machine, now: number): void {
    if (machine.directCommandInFlight) return;
    const overdueAfterS = FENCE_AFTER_INTERVALS * this.fleet.settings.heartbeatIntervalS;
    for (const sentAt of machine.unacknowledgedStarts.values()) {
      if (now - sentAt >= overdueAfterS) this.requestFence(machine);
    }
  }

  /** Requests a new record of the machine at once if the start of a task that is no longer needed may still arrive. */
  revoke(machine: Machine, start: TaskRef): void {
    if (this.mayArrive(machine, start)) this.requestFence(machine);
  }

  /** Requests a new record of the machine, since commands in flight carry the present fencing token. */
  private requestFence(machine: Machine): void {
    if (machine.fence !== 'none') return;
    machine.fence = 'requested';
    this.fleet.unrecordedChanges.markMachineUrgent(machine.name, MOST_URGENT);
  }

  /** Raises the machine's fencing token to the revision at which its requested record was written. */
  fenceRecorded(machine: Machine, revision: number): void {
    if (machine.fence !== 'requested') return;
    machine.fence = 'recorded';
    machine.fencingToken = revision;
    this.newestFencingToken = Math.max(this.newestFencingToken, revision);
  }
}

function startKey({ job, index, attempt }: TaskRef): string {
  return `${taskName(job, index)}#${attempt}`;
}
