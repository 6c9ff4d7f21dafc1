import {
  CONDITIONS_PER_CHANGE,
  shardKey,
  sizeInJson,
  type StateLimits,
  type Term,
  TXN_BYTES,
} from '#store';
import type { Change, Condition } from '#wire';
import type { RemovalMarker } from './removal-marker.js';

/** A change of one of the owner's records, and what follows from it. */
export interface RecordChange {
  key: string;
  /** The change is conditional on this version; 0: the record does not exist. */
  version: number;
  change: Change;
  /** Conditions on records that the change leaves as they are. */
  guards: Condition[];
  /** To be called with its revision once the change is durable; a delete's has no meaning. */
  durable: (revision: number) => void;
  /** To be called if nothing was changed: it is to be recorded later. */
  again: () => void;
}

/** Changes that share a transaction, within the limits of the state service. */
export class RecordBatch {
  readonly changes: RecordChange[] = [];
  private readonly changedKeys = new Set<string>();
  /** Versions by key; each key counts once, however many changes depend on it. */
  private readonly conditions = new Map<string, number>();
  private bytes = 0;

  private deletes = false;

  /** All is conditional on the term. */
  constructor(
    term: Term,
    private readonly marker: RemovalMarker,
    private readonly limits: StateLimits,
    readonly maxChanges: number,
  ) {
    this.conditions.set(shardKey(term.shard), term.term);
  }

  /** Guards that a single change may have. */
  static maxGuards({ txnOps }: StateLimits): number {
    // Three are for the term, the removal marker and the changed record itself.
    return txnOps * CONDITIONS_PER_CHANGE - 3;
  }

  /**
   * Takes the change in unless one of the same record is in already; false if there are `maxChanges`
   * already or it doesn't fit beside the others.
   */
  add(change: RecordChange, maxChanges = this.maxChanges): boolean {
    if (this.changedKeys.has(change.key)) return true;
    const together = this.withMarker(change);
    const conditions = [...together.flatMap(conditionsOf), ...this.creationGuards(change)];
    const added = conditions.filter(({ key }) => !this.conditions.has(key));
    const bytes = sizeInJson(together.map((each) => each.change)) + sizeInJson(added);
    const isFirst = this.changes.length === 0;
    const isWithinLimit = this.changes.length + together.length <= maxChanges;
    if (!isFirst && !(isWithinLimit && this.fits(added.length, bytes))) return false;
    this.changes.push(...together);
    this.changedKeys.add(change.key);
    this.deletes ||= 'delete' in change.change;
    for (const { key, version } of added) this.conditions.set(key, version);
    this.bytes += bytes;
    return true;
  }

  /** With the first deletion the removal marker changes, too. */
  private withMarker(change: RecordChange): RecordChange[] {
    const isFirstDeletion = 'delete' in change.change && !this.deletes;
    return isFirstDeletion ? [change, this.marker.change()] : [change];
  }

  private creationGuards({ change, version }: RecordChange): Condition[] {
    return 'put' in change && version === 0 ? [this.marker.condition()] : [];
  }

  allConditions(): Condition[] {
    return [...this.conditions].map(([key, version]) => ({ key, version }));
  }

  private fits(conditions: number, bytes: number): boolean {
    const maxConditions = this.limits.txnOps * CONDITIONS_PER_CHANGE;
    const enough = this.conditions.size + conditions <= maxConditions;
    return enough && this.bytes + bytes <= TXN_BYTES;
  }
}

function conditionsOf({ key, version, guards }: RecordChange): Condition[] {
  return [{ key, version }, ...guards];
}
