/**
 * Decides from the records of the state service and of the machines whether any machine had two owners: every term
 * has one owner, and a worker that has obeyed an owner obeys no earlier one.
 */

/** Something that must never happen. */
export interface OwnerBreach {
  kind:
    /** A worker obeyed a controller that owns no term with such a token. */
    | 'foreign-owner'
    /** A worker obeyed an owner after a newer one. */
    | 'older-owner'
    /** Two controllers were recorded for one term. */
    | 'two-owners';
  machine: string | null;
  controller: string;
  token: number;
}

export class OwnerAudit {
  readonly breaches: OwnerBreach[] = [];
  /** Answers that workers obeyed. */
  obeyedAnswers = 0;
  /** Owners by term, in the order of terms. */
  private readonly owners: { term: number; owner: string }[] = [];
  /** The newest term that each machine has obeyed. */
  private readonly newestTerm = new Map<string, number>();

  /** The state service holds an owner. */
  recorded(owner: string, term: number): void {
    const known = this.owners.find((each) => each.term === term);
    if (known === undefined) {
      this.owners.push({ owner, term });
      this.owners.sort((one, other) => one.term - other.term);
    } else if (known.owner !== owner) {
      this.breaches.push({ kind: 'two-owners', machine: null, controller: owner, token: term });
    }
  }

  /** A worker has obeyed an answer; its token is a term, or a later revision within it. */
  obeyed(machine: string, controller: string, token: number): void {
    this.obeyedAnswers++;
    const owner = this.owners.filter(({ term }) => term <= token).at(-1);
    if (owner?.owner !== controller) {
      this.breaches.push({ kind: 'foreign-owner', machine, controller, token });
    }
    const term = owner?.term ?? 0;
    const newest = this.newestTerm.get(machine) ?? 0;
    if (term < newest) this.breaches.push({ kind: 'older-owner', machine, controller, token });
    this.newestTerm.set(machine, Math.max(term, newest));
  }
}
