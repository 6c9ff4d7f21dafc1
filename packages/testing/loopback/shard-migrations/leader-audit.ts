/**
 * Checks that no machine had two leaders at the same time, from the leaders in the state service and the answers that
 * workers obeyed. Every term has one leader, and a worker that has obeyed a leader obeys no earlier one.
 */

/** A violation of a rule that `LeaderAudit` checks. */
export interface LeaderBreach {
  kind:
    /** A worker obeyed a controller that does not lead the term of the fencing token. */
    | 'foreign-owner'
    /** A worker obeyed a leader after it had obeyed a newer one. */
    | 'older-owner'
    /** Two controllers were recorded as leader of one term. */
    | 'two-owners';
  machine: string | null;
  controller: string;
  fencingToken: number;
}

export class LeaderAudit {
  readonly breaches: LeaderBreach[] = [];
  /** Number of answers that workers obeyed. */
  obeyedAnswers = 0;
  /** Recorded leaders in the order of their terms. */
  private readonly leaders: { term: number; leader: string }[] = [];
  /** The newest term that each machine has obeyed. */
  private readonly newestTerm = new Map<string, number>();

  /** Adds a leader that the state service has recorded. */
  addRecordedLeader(leader: string, term: number): void {
    const known = this.leaders.find((each) => each.term === term);
    if (known === undefined) {
      this.leaders.push({ leader, term });
      this.leaders.sort((one, other) => one.term - other.term);
    } else if (known.leader !== leader) {
      this.breaches.push({
        kind: 'two-owners',
        machine: null,
        controller: leader,
        fencingToken: term,
      });
    }
  }

  /** Adds an answer that a worker has obeyed. The fencing token is the term or a later revision within the term. */
  addObeyedAnswer(machine: string, controller: string, fencingToken: number): void {
    this.obeyedAnswers++;
    const leader = this.leaders.filter(({ term }) => term <= fencingToken).at(-1);
    if (leader?.leader !== controller) {
      this.breaches.push({ kind: 'foreign-owner', machine, controller, fencingToken });
    }
    const term = leader?.term ?? 0;
    const newest = this.newestTerm.get(machine) ?? 0;
    if (term < newest)
      this.breaches.push({ kind: 'older-owner', machine, controller, fencingToken });
    this.newestTerm.set(machine, Math.max(term, newest));
  }
}
