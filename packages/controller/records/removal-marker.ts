/** The record by which late copies of a transaction are kept from creating deleted records again. */
import { removalsKey, type Term } from '#store';
import type { Condition } from '#wire';
import type { RecordChange } from './record-change.js';

/**
 * A record that changes with each transaction that deletes other records, and on whose version each
 * transaction depends that creates one. Else a transaction that was sent twice could be applied for a
 * second time after its record was deleted, when the record has the same version 0 as before, and create
 * it again.
 */
export class RemovalMarker {
  private version = 0;
  private removalCount = 0;

  constructor(private readonly term: Term) {}

  /** Starts from the version that earlier terms left, 0 if there is no such record. */
  restore(version: number): void {
    this.version = version;
  }

  /** What a transaction that creates a record depends on. */
  condition(): Condition {
    return { key: removalsKey(this.term.shard), version: this.version };
  }

  /** What a transaction that deletes records changes. */
  change(): RecordChange {
    const value = { term: this.term.term, removals: ++this.removalCount };
    const { key, version } = this.condition();
    const onDurable = (revision: number) => {
      this.version = revision;
    };
    return { key, version, change: { put: key, value }, onDurable };
  }
}
