/** The cancellations that this controller knows of, recorded or only requested. */
import type { CancellationNotice } from '#peer';

/** A cancellation that the state service holds, with the revision of its record. */
interface RecordedCancellation {
  job: string;
  revision: number;
}

/** What a peer is told of the cancellations after a revision. */
export interface CancellationList {
  /** The list is complete from this revision on; Infinity if it can't be complete. */
  since: number;
  cancelled: CancellationNotice[];
}

/** Cancellations in one list; a status frame has to stay small. */
const MAX_CANCELLATIONS_PER_LIST = 2000;

/**
 * The cancellations that this controller knows: those recorded, in the order in which they became
 * known, and those that users requested here or at a peer, whose record may still be under way.
 * Each is kept for as long as a task of its job may still be allowed to run anywhere.
 */
export class Cancellations {
  private recorded: RecordedCancellation[] = [];
  /** When each job's cancellation was requested; steady seconds. */
  private readonly requestedAt = new Map<string, number>();
  /** Recorded cancellations up to this revision may have been dropped. */
  private droppedUpTo = 0;

  /**
   * @param maxRecorded Recorded cancellations that are kept at least, if there were as many.
   * @param keepRequestedS Seconds for which a request is kept.
   */
  constructor(
    private readonly maxRecorded: number,
    private readonly keepRequestedS: number,
  ) {}

  /** Adds a cancellation that the state service holds, with the revision of its record. */
  addRecorded(job: string, revision: number): void {
    this.recorded.push({ job, revision });
    if (this.recorded.length <= 2 * this.maxRecorded) return;
    const dropped = this.recorded.splice(0, this.maxRecorded);
    for (const cancellation of dropped) {
      this.droppedUpTo = Math.max(this.droppedUpTo, cancellation.revision);
    }
  }

  /** Adds a request that a user sent to this controller. `now` is steady seconds. */
  addRequested(job: string, now: number): void {
    this.requestedAt.set(job, now);
  }

  /**
   * Adds a request that a peer told of. It never renews one that is known, and one that is too old is
   * ignored: otherwise controllers would remind each other of it for ever. `now` is steady seconds.
   */
  addFromPeer({ job, ageMs }: CancellationNotice, now: number): void {
    const ageS = ageMs / 1000;
    if (!this.requestedAt.has(job) && ageS <= this.keepRequestedS) {
      this.requestedAt.set(job, now - ageS);
    }
  }

  /** Whether the cancellation of a job was requested, here or at a peer, and is still kept. */
  wasRequested(job: string): boolean {
    return this.requestedAt.has(job);
  }

  /** All requests that are still kept; drops the older ones. `now` is steady seconds. */
  requests(now: number): CancellationNotice[] {
    const notices: CancellationNotice[] = [];
    for (const [job, requestedAt] of this.requestedAt) {
      const ageS = now - requestedAt;
      if (ageS > this.keepRequestedS) this.requestedAt.delete(job);
      else notices.push({ job, ageMs: Math.max(0, Math.round(ageS * 1000)) });
    }
    return notices;
  }

  /** All recorded cancellations after the revision, and all requests that may still be recorded. */
  listSince(revision: number, now: number): CancellationList {
    const known = new Map<string, CancellationNotice>();
    for (const cancellation of this.recorded) {
      const { job } = cancellation;
      if (cancellation.revision > revision) known.set(job, { job, ageMs: 0 });
    }
    for (const request of this.requests(now)) known.set(request.job, request);
    const cancelled = [...known.values()];
    if (cancelled.length > MAX_CANCELLATIONS_PER_LIST) {
      return { since: Infinity, cancelled: cancelled.slice(0, MAX_CANCELLATIONS_PER_LIST) };
    }
    return { since: Math.max(revision, this.droppedUpTo), cancelled };
  }
}
