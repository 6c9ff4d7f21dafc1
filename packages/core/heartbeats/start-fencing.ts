/** Prevents direct starts, and copies of them, from taking effect late. */
import { taskName, type TaskRef } from '#wire';
import type { FleetData } from '../fleet-data.js';
import type { Machine } from '../model/entities.js';
import { MAX_ENTRY_BYTES } from '../model/machine-record-size.js';

/** In heartbeat intervals: how long a start may be unacknowledged before it is fenced off. */
const FENCE_AFTER_INTERVALS = 2;

/** In heartbeat intervals: how long exited attempts are retained before an answer raises the fencing token for them. */
const RELEASE_AFTER_INTERVALS = 2;

/** Attempts that a machine may retain, as a share of the tasks that its record may list. */
const RETAINED_SHARE = 1 / 4;

/** Rank of a machine record that is written before the records of all starts. */
const MOST_URGENT = 0;

/**
 * A direct start may arrive at any later time in the same agent epoch under the same fencing token: late if it was not
 * answered, and as a copy if it was. The worker is therefore made to forget an exited attempt only after it has shown a
 * fencing token above that of the command, or a new epoch (docs/safety.md, point 6).
 *
 * Any revision that a transaction of this term has written can serve as a fencing token, since the next term is larger.
 * So a token is raised without a change of its own, unless nothing was recorded since it was last raised.
 */
export class StartFencing {
  /** The largest fencing token that any message of this term may carry. A larger one was issued by another leader. */
  newestFencingToken: number;
  /** Number of machine records that were requested only to raise a fencing token. */
  recordsRequested = 0;
  /** Number of retained attempts of a machine from which on its fencing token is raised at once. */
  readonly maxRetainedAttempts: number;

  constructor(private readonly fleet: FleetData) {
    this.newestFencingToken = fleet.term;
    const recordedTasks = fleet.settings.machineRecordBytes / MAX_ENTRY_BYTES;
    this.maxRetainedAttempts = Math.max(1, Math.floor(recordedTasks * RETAINED_SHARE));
  }

  /** Notes the revision at which a transaction was carried out that is conditional on this term. */
  revisionWritten(revision: number): void {
    this.newestFencingToken = Math.max(this.newestFencingToken, revision);
  }

  /**
   * Notes that a transaction that is conditional on this term was carried out at a revision that is not known for
   * certain. It is larger than that of all earlier transactions of the term.
   */
  unansweredTransactionWritten(): void {
    this.newestFencingToken++;
  }

  /**
   * Must be called before direct starts are sent. If the machine retains attempts, the command carries a higher fencing
   * token, and its answer shows that copies of their starts have no effect any more.
   */
  beforeDirectStarts(machine: Machine): void {
    if (machine.retainedAttempts > 0) this.raise(machine);
  }

  /** Notes that a direct start is being sent. */
  startSent(machine: Machine, start: TaskRef, now: number): void {
    const key = startKey(start);
    machine.unacknowledgedStarts.set(key, now);
    machine.directStarts.set(key, machine.fencingToken);
  }

  /** Notes that the worker has executed and answered the direct start. Copies may still arrive. */
  executed(machine: Machine, start: TaskRef): void {
    machine.unacknowledgedStarts.delete(startKey(start));
  }

  /** Notes that the worker has refused the command with the direct start, as it will refuse any copy. */
  refused(machine: Machine, start: TaskRef): void {
    const key = startKey(start);
    machine.unacknowledgedStarts.delete(key);
    machine.directStarts.delete(key);
  }

  /** Whether the start was not answered, and may arrive at the worker for the first time. */
  isUnacknowledged(machine: Machine, start: TaskRef): boolean {
    return (
      machine.unacknowledgedStarts.size > 0 && machine.unacknowledgedStarts.has(startKey(start))
    );
  }

  /** Whether the worker may still admit a direct command that starts the attempt, or a copy of one. */
  mayBeAdmitted(machine: Machine, start: TaskRef): boolean {
    return machine.directStarts.size > 0 && machine.directStarts.has(startKey(start));
  }

  /** Drops all direct starts: a worker in a new agent epoch ignores commands for an older one. */
  agentEpochChanged(machine: Machine): void {
    machine.unacknowledgedStarts.clear();
    machine.directStarts.clear();
  }

  /** Handles the fencing token that a worker shows: direct commands with a lower one no longer have any effect. */
  fencingTokenSeen(machine: Machine, fencingToken: number): void {
    if (fencingToken > machine.shownFencingToken) {
      machine.shownFencingToken = fencingToken;
      dropStartsBelow(machine, fencingToken);
    }
    if (machine.fence === 'raised' && fencingToken >= machine.fencingToken) machine.fence = 'none';
  }

  /** Fences a machine off if a start has been unacknowledged for too long. */
  fenceOverdueStarts(machine: Machine, now: number): void {
    // The record of another machine may have provided a higher fencing token in the meantime.
    if (machine.fence === 'requested' && this.raise(machine)) machine.fence = 'raised';
    if (machine.directCommandInFlight) return;
    const overdueAfterS = FENCE_AFTER_INTERVALS * this.fleet.settings.heartbeatIntervalS;
    for (const sentAt of machine.unacknowledgedStarts.values()) {
      if (now - sentAt >= overdueAfterS) this.requestFence(machine);
    }
  }

  /** Fences the machine off at once if the start of a task that is no longer needed may still arrive. */
  revoke(machine: Machine, start: TaskRef): void {
    if (this.isUnacknowledged(machine, start)) this.requestFence(machine);
  }

  /**
   * Must be called after a heartbeat was applied and before it is answered. Lets the answer raise the fencing token if
   * attempts have been retained for long. If they are too many, requests a record where no higher token is known.
   */
  releaseRetained(machine: Machine, now: number): void {
    if (machine.retainedAttempts === 0) {
      machine.retainedSince = null;
      return;
    }
    machine.retainedSince ??= now;
    // A direct command in flight would be refused if the answer overtook it.
    if (machine.directCommandInFlight) return;
    const releaseAfterS = RELEASE_AFTER_INTERVALS * this.fleet.settings.heartbeatIntervalS;
    if (machine.retainedAttempts >= this.maxRetainedAttempts) this.requestFence(machine);
    else if (now - machine.retainedSince < releaseAfterS || !this.raise(machine)) return;
    machine.retainedSince = now;
  }

  /** Raises the machine's fencing token above that of all direct starts; if it cannot be yet, requests a new record. */
  private requestFence(machine: Machine): void {
    if (machine.fence !== 'none') return;
    if (this.raise(machine)) {
      machine.fence = 'raised';
      return;
    }
    machine.fence = 'requested';
    this.recordsRequested++;
    this.fleet.unrecordedChanges.markMachineUrgent(machine.name, MOST_URGENT);
  }

  /** Raises the machine's fencing token after the requested record was written, or requests another record. */
  fenceRecorded(machine: Machine): void {
    if (machine.fence !== 'requested') return;
    machine.fence = 'none';
    this.requestFence(machine);
  }

  /** Raises the machine's fencing token to the newest one. Returns false if it is the newest one already. */
  private raise(machine: Machine): boolean {
    if (machine.fencingToken >= this.newestFencingToken) return false;
    machine.fencingToken = this.newestFencingToken;
    return true;
  }
}

function dropStartsBelow(machine: Machine, fencingToken: number): void {
  for (const [key, sentWith] of machine.directStarts) {
    if (sentWith >= fencingToken) continue;
    machine.directStarts.delete(key);
    machine.unacknowledgedStarts.delete(key);
  }
}

function startKey({ job, index, attempt }: TaskRef): string {
  return `${taskName(job, index)}#${attempt}`;
}
