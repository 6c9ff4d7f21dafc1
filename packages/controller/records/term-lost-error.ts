/** The error that tells a leader to step down. */

/** Why a term must end. */
export type TermLossReason =
  /** The lease on which the leader's key depends has ended. */
  | 'election-lease-gone'
  /** The shard's leader key has changed since this term's election, so the term has ended. */
  | 'leader-key-changed'
  /** Another writer has changed a record that only the shard's leader may change. */
  | 'record-changed'
  /** A record holds the value that this term wrote, but at a revision before the term. */
  | 'record-older-than-term'
  /** A machine's record refers to a job that has no record. */
  | 'unknown-job'
  /** The state service refuses a transaction as malformed, and would refuse it again. */
  | 'transaction-malformed';

/** The records differ from what this term wrote or can no longer be changed, so the leader must step down. */
export class TermLostError extends Error {
  constructor(
    /** The term that must end. */
    readonly term: number,
    readonly reason: TermLossReason,
    detail: string,
    options?: ErrorOptions,
  ) {
    super(`term ${term} must end: ${detail}`, options);
    this.name = new.target.name;
  }
}
