/** Record changes that share one transaction. */
import {
  CONDITIONS_PER_CHANGE,
  shardKey,
  sizeInJson,
  type StateLimits,
  type Term,
  MAX_TXN_BYTES,
} from '#store';
import type { Condition } from '#wire';
import type { RecordChange } from './record-change.js';
import type { RemovalMarker } from './removal-marker.js';

/** Conditions of a transaction besides the guards: the term, the removal marker and the changed record. */
const NON_GUARD_CONDITIONS = 3;

/** Record changes that share a transaction, within the limits of the state service. */
export class RecordBatch {
  readonly changes: RecordChange[] = [];
  private readonly changedKeys = new Set<string>();
  /** Expected versions by key; a key counts once however many changes depend on it. */
  private readonly conditions = new Map<string, number>();
  private bytes = 0;
  private hasDeletion = false;

  /** Makes all changes conditional on the term. */
  constructor(
    term: Term,
    private readonly removalMarker: RemovalMarker,
    private readonly limits: StateLimits,
    readonly maxChanges: number,
  ) {
    this.conditions.set(shardKey(term.shard), term.term);
  }

  /** Largest number of guards of a single change. */
  static maxGuards({ txnOps }: StateLimits): number {
    return txnOps * CONDITIONS_PER_CHANGE - NON_GUARD_CONDITIONS;
  }

  /**
   * Adds the change unless the batch already has a change of the same record. Returns false without adding it if the
   * batch would exceed `maxChanges` or the limits of a transaction; the first change is always added.
   */
  add(change: RecordChange, maxChanges = this.maxChanges): boolean {
    if (this.changedKeys.has(change.key)) return true;
    const addedChanges = this.withRemovalMarker(change);
    const conditions = [...addedChanges.flatMap(conditionsOf), ...this.creationConditions(change)];
    const newConditions = conditions.filter(({ key }) => !this.conditions.has(key));
    const bytes = sizeInJson(addedChanges.map((each) => each.change)) + sizeInJson(newConditions);
    const isFirst = this.changes.length === 0;
    const isWithinLimit = this.changes.length + addedChanges.length <= maxChanges;
    if (!isFirst && !(isWithinLimit && this.hasCapacity(newConditions.length, bytes))) return false;
    this.changes.push(...addedChanges);
    this.changedKeys.add(change.key);
    this.hasDeletion ||= 'delete' in change.change;
    for (const { key, version } of newConditions) this.conditions.set(key, version);
    this.bytes += bytes;
    return true;
  }

  /** Adds a change of the removal marker to the first deletion of the batch. */
  private withRemovalMarker(change: RecordChange): RecordChange[] {
    const isFirstDeletion = 'delete' in change.change && !this.hasDeletion;
    return isFirstDeletion ? [change, this.removalMarker.change()] : [change];
  }

  private creationConditions({ change, version }: RecordChange): Condition[] {
    return 'put' in change && version === 0 ? [this.removalMarker.condition()] : [];
  }

  /** The conditions of the transaction: on the term, and on every record that it changes or depends on. */
  allConditions(): Condition[] {
    return [...this.conditions].map(([key, version]) => ({ key, version }));
  }

  private hasCapacity(conditionCount: number, bytes: number): boolean {
    const maxConditions = this.limits.txnOps * CONDITIONS_PER_CHANGE;
    const isWithinConditions = this.conditions.size + conditionCount <= maxConditions;
    return isWithinConditions && this.bytes + bytes <= MAX_TXN_BYTES;
  }
}

function conditionsOf({ key, version, guards = [] }: RecordChange): Condition[] {
  return [{ key, version }, ...guards];
}
