/** A cancellation that the state service holds, at the revision of its record. */
interface RecordedCancellation {
  job: string;
  revision: number;
}

/** What is told of the cancellations after a revision. */
export interface CancellationList {
  /** The list is complete from this revision on; Infinity if it can't be complete. */
  since: number;
  jobs: string[];
}

/** Cancellations told at once; more do not fit a status frame's purpose of being small. */
const MAX_TOLD = 2000;

/**
 * The cancellations that this controller knows: those recorded, in the order in which they became
 * known, and those that users have asked for here or at a peer, whose record may still be under way.
 * Kept for as long as a task of such a job may be allowed to run anywhere.
 */
export class Cancellations {
  private recorded: RecordedCancellation[] = [];
  /** Requests by job, and when they were heard; steady seconds. */
  private readonly requested = new Map<string, number>();
  /** Recorded ones up to this revision may have been dropped from the list. */
  private droppedUpTo = 0;

  constructor(
    private readonly maxRecorded: number,
    private readonly keepRequestedS: number,
  ) {}

  noteRecorded(job: string, revision: number): void {
    this.recorded.push({ job, revision });
    if (this.recorded.length <= 2 * this.maxRecorded) return;
    const dropped = this.recorded.splice(0, this.maxRecorded);
    for (const { revision: at } of dropped) this.droppedUpTo = Math.max(this.droppedUpTo, at);
  }

  noteRequested(job: string, now: number): void {
    this.requested.set(job, now);
  }

  wasRequested(job: string): boolean {
    return this.requested.has(job);
  }

  /** Jobs whose cancellation was asked for; what was heard too long ago is dropped. */
  requestedJobs(now: number): string[] {
    for (const [job, at] of this.requested) {
      if (now - at > this.keepRequestedS) this.requested.delete(job);
    }
    return [...this.requested.keys()];
  }

  /** All that is known and newer than the revision, and all that may still be recorded. */
  listSince(revision: number, now: number): CancellationList {
    const newer = this.recorded.filter((c) => c.revision > revision).map((c) => c.job);
    const jobs = [...new Set([...newer, ...this.requestedJobs(now)])];
    if (jobs.length > MAX_TOLD) return { since: Infinity, jobs: jobs.slice(0, MAX_TOLD) };
    return { since: Math.max(revision, this.droppedUpTo), jobs };
  }
}
