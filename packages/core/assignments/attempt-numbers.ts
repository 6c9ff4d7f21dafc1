/** Attempt numbers, which distinguish the starts of a task (docs/safety.md, point 10). */

/**
 * Attempt numbers that one term may use. Each transaction raises the revision, and with it every later term, by one,
 * and can record far fewer assignments than this. So attempt numbers never repeat, not even across terms.
 */
const ATTEMPTS_PER_TERM = 65_536;

/** Generates the attempt numbers of one term. */
export class AttemptNumbers {
  private usedCount = 0;

  constructor(private readonly term: number) {}

  /** Returns a number that no other call in any term returns. */
  next(): number {
    return this.term * ATTEMPTS_PER_TERM + this.usedCount++;
  }
}
