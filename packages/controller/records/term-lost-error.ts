/** The error by which a leader learns that it must step down. */

/** Why a term must end. */
export type TermLossReason =
  /** The lease on which the leader's key depends has ended. */
  | 'election-lease-gone'
  /** The shard's key is not as this term's election left it: the term is over. */
  | 'leader-key-changed'
  /** Somebody else has changed a record that only the leader of the shard changes. */
  | 'record-changed'
  /** A record holds what this term wrote, at a revision before the term. */
  | 'record-older-than-term'
  /** A machine's record names a job of which there is no record. */
  | 'unknown-job'
  /** The state service calls a transaction malformed; a repetition would fare the same. */
  | 'transaction-malformed';

/** The records are not as this term left them, or can't be changed any more: the leader must step down. */
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
