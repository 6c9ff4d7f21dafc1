/** Attempt numbers, by which a task's starts are told apart (docs/safety.md, point 10). */

/**
 * Attempt numbers that one term may use. A transaction raises the revision, and with it every later term, by one,
 * and can record far fewer assignments: so numbers never repeat, also across terms.
 */
const ATTEMPTS_PER_TERM = 65_536;

/** The attempt numbers of one term. */
export class AttemptNumbers {
  private usedCount = 0;

  constructor(private readonly term: number) {}

  /** A number that no other start of any term has. */
  next(): number {
    return this.term * ATTEMPTS_PER_TERM + this.usedCount++;
  }
}
