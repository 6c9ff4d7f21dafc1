/** A change of a record that a shard's leader keeps in the state service. */
import type { Change, Condition } from '#wire';

/** A change of one of the leader's records, with callbacks for its outcome. */
export interface RecordChange {
  key: string;
  /** Version that the record must have for the change to apply; 0: the record must not exist. */
  version: number;
  change: Change;
  /** Conditions on records that the change does not modify. */
  guards?: Condition[];
  /** Called with the revision of the change once it is durable; the revision of a deletion has no meaning. */
  onDurable: (revision: number) => void;
  /** Called if the change was not applied, to schedule it again; absent if the change is collected again anyway. */
  onNotApplied?: () => void;
}
