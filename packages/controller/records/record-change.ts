/** One change of a record that the leader of a shard keeps in the state service. */
import type { Change, Condition } from '#wire';

/** A change of one of the leader's records, and what follows from its outcome. */
export interface RecordChange {
  key: string;
  /** The change is conditional on this version; 0: the record does not exist. */
  version: number;
  change: Change;
  /** Conditions on records that the change leaves as they are. */
  guards?: Condition[];
  /** Called with its revision once the change is durable; that of a deletion has no meaning. */
  onDurable: (revision: number) => void;
  /** Called if nothing was changed, so that it is recorded later; absent: it is found again by itself. */
  onNotApplied?: () => void;
}
