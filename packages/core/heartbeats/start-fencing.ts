import { taskName, TaskRef } from '#wire';
import type { FleetTables } from '../fleet-tables.js';
import type { Machine } from '../model/model.js';

/** Report periods after which a start that was not acknowledged is fenced off. */
const FENCE_AFTER_HEARTBEATS = 2;

/** Rank of what goes before all starts. */
const MOST_URGENT = 0;

/**
 * Direct starts whose answer did not come may arrive at any later time in the same session under the
 * same token. They are fenced off by raising the machine's token to the revision of a new record of it;
 * once a report shows that token, or a new session, none of them can act (docs/safety.md, point 6).
 */
export class StartFencing {
  /** The largest token that any answer of this term may carry; one that is larger is another owner's. */
  newestFencingToken: number;

  constructor(private readonly tables: FleetTables) {
    this.newestFencingToken = tables.term;
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

  /** The worker is in a new session, and drops what was sent for the one before. */
  agentEpochChanged(machine: Machine): void {
    machine.unacknowledgedStarts.clear();
  }

  /** A report showed this token: direct commands with a lower one have no effect any more. */
  fencingTokenSeen(machine: Machine, fencingToken: number): void {
    // Direct commands are not sent while the token is being raised, so all of these starts are older.
    if (machine.fence !== 'recorded' || fencingToken < machine.fencingToken) return;
    machine.unacknowledgedStarts.clear();
    machine.fence = 'none';
  }

  /** Asks for a new record of the machine if a start has been unacknowledged for too long. */
  fenceOverdueStarts(machine: Machine, now: number): void {
    if (machine.directCommandInFlight) return;
    const overdueAfterS = FENCE_AFTER_HEARTBEATS * this.tables.settings.heartbeatIntervalS;
    for (const sentAt of machine.unacknowledgedStarts.values()) {
      if (now - sentAt >= overdueAfterS) this.fence(machine);
    }
  }

  /** Nobody wants the task any more: asks for a new record at once if its start may still arrive. */
  revoke(machine: Machine, start: TaskRef): void {
    if (this.mayArrive(machine, start)) this.fence(machine);
  }

  /** A call that is under way carries the older token. */
  private fence(machine: Machine): void {
    if (machine.fence !== 'none') return;
    machine.fence = 'requested';
    this.tables.unrecorded.markMachineUrgent(machine.name, MOST_URGENT);
  }

  /** The machine's record was written at this revision. */
  recorded(machine: Machine, revision: number): void {
    if (machine.fence !== 'requested') return;
    machine.fence = 'recorded';
    machine.fencingToken = revision;
    this.newestFencingToken = Math.max(this.newestFencingToken, revision);
  }
}

function startKey({ job, index, attempt }: TaskRef): string {
  return `${taskName(job, index)}#${attempt}`;
}
