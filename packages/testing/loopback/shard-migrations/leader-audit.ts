/**
 * Decides from the records of the state service and of the machines whether any machine had two owners: every term
 * has one owner, and a worker that has obeyed an owner obeys no earlier one.
 */

/** Something that must never happen. */
export interface LeaderBreach {
  kind:
    /** A worker obeyed a controller that owns no term with such a token. */
    | 'foreign-owner'
    /** A worker obeyed an owner after a newer one. */
    | 'older-owner'
    /** Two controllers were recorded for one term. */
    | 'two-owners';
  machine: string | null;
  controller: string;
  fencingToken: number;
}

export class LeaderAudit {
  readonly breaches: LeaderBreach[] = [];
  /** Answers that workers obeyed. */
  obeyedAnswers = 0;
  /** Owners by term, in the order of terms. */
  private readonly leaders: { term: number; leader: string }[] = [];
  /** The newest term that each machine has obeyed. */
  private readonly newestTerm = new Map<string, number>();

  /** The state service holds an owner. */
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

  /** A worker has obeyed an answer; its token is a term, or a later revision within it. */
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
