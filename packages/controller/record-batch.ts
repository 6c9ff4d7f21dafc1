import { partKey, type StateLimits, type Term } from '#store';
import type { Change, Condition } from '#wire';

/** Of the 64 KiB of a transaction; the rest is for what stands around conditions and changes. */
const TXN_BYTES = 60 * 1024;
/** Conditions that a transaction may have for each change that it may have. */
const CONDITIONS_PER_CHANGE = 4;

/** A change of one of the owner's records, and what follows from it. */
export interface RecordChange {
  key: string;
  /** The change is conditional on this version; 0: the record does not exist. */
  version: number;
  change: Change;
  /** Conditions on records that the change leaves as they are. */
  guards: Condition[];
  /** To be called with its revision once the change is durable. */
  durable: (revision: number) => void;
  /** To be called if nothing was changed: it is to be recorded later. */
  again: () => void;
}

/** Changes that share a transaction, within the limits of the state service. */
export class RecordBatch {
  readonly changes: RecordChange[] = [];
  /** Versions by key; each key counts once, however many changes depend on it. */
  private readonly conditions = new Map<string, number>();
  private bytes = 0;

  /** All is conditional on the term. */
  constructor(
    term: Term,
    private readonly limits: StateLimits,
  ) {
    this.conditions.set(partKey(term.part), term.term);
  }

  /** Guards that a single change may have. */
  static maxGuards({ txnOps }: StateLimits): number {
    // Two are for the term and the changed record itself.
    return txnOps * CONDITIONS_PER_CHANGE - 2;
  }

  /** Takes the change in; false if there is no room for it beside the others. */
  add(change: RecordChange): boolean {
    const conditions = [{ key: change.key, version: change.version }, ...change.guards];
    const added = conditions.filter(({ key }) => !this.conditions.has(key));
    const bytes = sizeInJson(change.change) + sizeInJson(added);
    if (this.changes.length > 0 && !this.hasRoom(added.length, bytes)) return false;
    this.changes.push(change);
    for (const { key, version } of added) this.conditions.set(key, version);
    this.bytes += bytes;
    return true;
  }

  allConditions(): Condition[] {
    return [...this.conditions].map(([key, version]) => ({ key, version }));
  }

  private hasRoom(conditions: number, bytes: number): boolean {
    const { txnOps } = this.limits;
    return (
      this.changes.length < txnOps &&
      this.conditions.size + conditions <= txnOps * CONDITIONS_PER_CHANGE &&
      this.bytes + bytes <= TXN_BYTES
    );
  }
}

/** Bytes in JSON, by which the state service's limits count. */
function sizeInJson(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
