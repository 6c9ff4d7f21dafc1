/** Stores the cancellations that this controller knows of, recorded or only requested. */
import type { CancellationNotice } from '#peer';

/** A cancellation that the state service holds, with the revision of its record. */
interface RecordedCancellation {
  job: string;
  revision: number;
}

/** The cancellations that a status frame announces to a peer. */
export interface CancellationList {
  /** The list holds every known record newer than this revision; Infinity if the list was truncated. */
  since: number;
  cancelled: CancellationNotice[];
}

/** Bounds the size of a status frame. */
const MAX_CANCELLATIONS_PER_LIST = 2000;

/**
 * Cancellations that this controller knows of: those recorded, in the order in which they became known,
 * and those that users requested from this controller or a peer, whose records may not be written yet.
 * Each is kept for as long as a task of its job may still be allowed to run anywhere.
 */
export class Cancellations {
  private recorded: RecordedCancellation[] = [];
  /** When each job's cancellation was requested, in seconds of the monotonic clock. */
  private readonly requestedAt = new Map<string, number>();
  /** Records up to this revision may have been dropped from `recorded`. */
  private droppedUpTo = 0;

  /**
   * @param maxRecorded Number of newest recorded cancellations that are always kept.
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

  /** Adds a request that a user sent to this controller. `now` is in seconds of the monotonic clock. */
  addRequested(job: string, now: number): void {
    this.requestedAt.set(job, now);
  }

  /**
   * Adds a request that a peer announced. A known request keeps its age and an expired request is ignored;
   * otherwise controllers would renew each other's copy of a request for ever. `now` is in seconds of the
   * monotonic clock.
   */
  addFromPeer({ job, ageMs }: CancellationNotice, now: number): void {
    const ageS = ageMs / 1000;
    if (!this.requestedAt.has(job) && ageS <= this.keepRequestedS) {
      this.requestedAt.set(job, now - ageS);
    }
  }

  /** Whether a request to cancel the job, from this controller's users or from a peer, is still kept. */
  wasRequested(job: string): boolean {
    return this.requestedAt.has(job);
  }

  /** Drops expired requests and returns all others. `now` is in seconds of the monotonic clock. */
  requests(now: number): CancellationNotice[] {
    const notices: CancellationNotice[] = [];
    for (const [job, requestedAt] of this.requestedAt) {
      const ageS = now - requestedAt;
      if (ageS > this.keepRequestedS) this.requestedAt.delete(job);
      else notices.push({ job, ageMs: Math.max(0, Math.round(ageS * 1000)) });
    }
    return notices;
  }

  /**
   * Lists all known records newer than the revision, and all requests that may still be recorded. `now` is
   * in seconds of the monotonic clock.
   */
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
