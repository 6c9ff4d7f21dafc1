import type { CancellationNotice } from '#peer';

/** A cancellation that the state service holds, at the revision of its record. */
interface RecordedCancellation {
  job: string;
  revision: number;
}

/** What is told of the cancellations after a revision. */
export interface CancellationList {
  /** The list is complete from this revision on; Infinity if it can't be complete. */
  since: number;
  cancelled: CancellationNotice[];
}

/** Cancellations told at once; more do not fit a status frame's purpose of being small. */
const MAX_ANNOUNCED = 2000;

/**
 * The cancellations that this controller knows: those recorded, in the order in which they became
 * known, and those that users have asked for here or at a peer, whose record may still be under way.
 * Kept for as long as a task of such a job may be allowed to run anywhere.
 */
export class Cancellations {
  private recorded: RecordedCancellation[] = [];
  /** Requests by job, and when the user asked; steady seconds. */
  private readonly requested = new Map<string, number>();
  /** Recorded ones up to this revision may have been dropped from the list. */
  private droppedUpTo = 0;

  constructor(
    private readonly maxRecorded: number,
    private readonly keepRequestedS: number,
  ) {}

  addRecorded(job: string, revision: number): void {
    this.recorded.push({ job, revision });
    if (this.recorded.length <= 2 * this.maxRecorded) return;
    const dropped = this.recorded.splice(0, this.maxRecorded);
    for (const { revision: at } of dropped) this.droppedUpTo = Math.max(this.droppedUpTo, at);
  }

  /** A user asks here. */
  addRequested(job: string, now: number): void {
    this.requested.set(job, now);
  }

  /**
   * A peer tells of a cancellation. What it tells never renews a request that is known, and one that is
   * too old is not taken up again: else controllers would remind each other of it for ever.
   */
  addFromPeer({ job, ageMs }: CancellationNotice, now: number): void {
    const ageS = ageMs / 1000;
    if (!this.requested.has(job) && ageS <= this.keepRequestedS) {
      this.requested.set(job, now - ageS);
    }
  }

  wasRequested(job: string): boolean {
    return this.requested.has(job);
  }

  /** What users have asked for; what was asked for too long ago is dropped. */
  requests(now: number): CancellationNotice[] {
    const notices: CancellationNotice[] = [];
    for (const [job, at] of this.requested) {
      if (now - at > this.keepRequestedS) this.requested.delete(job);
      else notices.push({ job, ageMs: Math.max(0, Math.round((now - at) * 1000)) });
    }
    return notices;
  }

  /** All that is known and newer than the revision, and all that may still be recorded. */
  listSince(revision: number, now: number): CancellationList {
    const told = new Map<string, CancellationNotice>();
    for (const { job, revision: at } of this.recorded) {
      if (at > revision) told.set(job, { job, ageMs: 0 });
    }
    for (const request of this.requests(now)) told.set(request.job, request);
    const cancelled = [...told.values()];
    if (cancelled.length > MAX_ANNOUNCED) {
      return { since: Infinity, cancelled: cancelled.slice(0, MAX_ANNOUNCED) };
    }
    return { since: Math.max(revision, this.droppedUpTo), cancelled };
  }
}
