/** The record that prevents delayed duplicates of a transaction from recreating deleted records. */
import { removalsKey, type Term } from '#store';
import type { Condition } from '#wire';
import type { RecordChange } from './record-change.js';

/**
 * The removal marker is a record that changes with each transaction that deletes other records. Each transaction that
 * creates a record is conditional on the version of the marker. Without this condition, a transaction that was sent
 * twice could be applied a second time and recreate its record after a deletion: a deleted record has version 0, as
 * it had before its creation.
 */
export class RemovalMarker {
  private version = 0;
  private removalCount = 0;

  constructor(private readonly term: Term) {}

  /** Sets the version of the marker that earlier terms wrote, 0 if there is none. */
  restore(version: number): void {
    this.version = version;
  }

  /** The condition for transactions that create records. */
  condition(): Condition {
    return { key: removalsKey(this.term.shard), version: this.version };
  }

  /** The change that goes with the deletion of records. */
  change(): RecordChange {
    const value = { term: this.term.term, removals: ++this.removalCount };
    const { key, version } = this.condition();
    const onDurable = (revision: number) => {
      this.version = revision;
    };
    return { key, version, change: { put: key, value }, onDurable };
  }
}
