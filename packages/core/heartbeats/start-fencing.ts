/** Keeps starts that were sent directly and not acknowledged from acting late. */
import { taskName, type TaskRef } from '#wire';
import type { FleetData } from '../fleet-data.js';
import type { Machine } from '../model/entities.js';

/** In heartbeat intervals: how long a start may be unacknowledged before it is fenced off. */
const FENCE_AFTER_INTERVALS = 2;

/** Rank of a record that is written before those of all starts. */
const MOST_URGENT = 0;

/**
 * Direct starts whose answer did not come may arrive at any later time in the same agent epoch under the same
 * fencing token. They are fenced off by raising the machine's fencing token to the revision of a new record of it;
 * once a heartbeat shows that fencing token, or a new epoch, none of them can act (docs/safety.md, point 6).
 */
export class StartFencing {
  /** The largest fencing token that any answer of this term may carry; a larger one is another leader's. */
  newestFencingToken: number;

  constructor(private readonly fleet: FleetData) {
    this.newestFencingToken = fleet.term;
  }

  /** A direct start is being sent. */
  startSent(machine: Machine, start: TaskRef, now: number): void {
    machine.unacknowledgedStarts.set(startKey(start), now);
  }

  /** The worker has answered it, whether it carried it out or not. */
  acknowledged(machine: Machine, start: TaskRef): void {
    machine.unacknowledgedStarts.delete(startKey(start));
  }

  /** The start may still arrive. */
  mayArrive(machine: Machine, start: TaskRef): boolean {
    return (
      machine.unacknowledgedStarts.size > 0 && machine.unacknowledgedStarts.has(startKey(start))
    );
  }

  /** The worker is in a new agent epoch, and drops what was sent for the one before. */
  agentEpochChanged(machine: Machine): void {
    machine.unacknowledgedStarts.clear();
  }

  /** A heartbeat showed this fencing token: direct commands with a lower one have no effect any more. */
  fencingTokenSeen(machine: Machine, fencingToken: number): void {
    // No direct command is sent while the fencing token is being raised, so all of these starts are older.
    if (machine.fence !== 'recorded' || fencingToken < machine.fencingToken) return;
    machine.unacknowledgedStarts.clear();
    machine.fence = 'none';
  }

  /** Asks for a new record of the machine if a start has been unacknowledged for too long. */
  fenceOverdueStarts(machine: Machine, now: number): void {
    if (machine.directCommandInFlight) return;
    const overdueAfterS = FENCE_AFTER_INTERVALS * this.fleet.settings.heartbeatIntervalS;
    for (const sentAt of machine.unacknowledgedStarts.values()) {
      if (now - sentAt >= overdueAfterS) this.requestFence(machine);
    }
  }

  /** Nobody wants the task any more: asks for a new record at once if its start may still arrive. */
  revoke(machine: Machine, start: TaskRef): void {
    if (this.mayArrive(machine, start)) this.requestFence(machine);
  }

  /** A call that is in flight carries the older fencing token. */
  private requestFence(machine: Machine): void {
    if (machine.fence !== 'none') return;
    machine.fence = 'requested';
    this.fleet.unrecorded.markMachineUrgent(machine.name, MOST_URGENT);
  }

  /** The machine's record was written at this revision. */
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
