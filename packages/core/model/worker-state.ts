/** What is known of the worker on a machine, by its heartbeats and by the commands sent to it. */

/** How far the machine's fencing token has been raised above that of unacknowledged starts. */
export type Fence =
  /** Nothing is to be fenced off. */
  | 'none'
  /** The next record of the machine is to raise its fencing token. */
  | 'requested'
  /** The record is written; earlier starts are harmless once a heartbeat shows the new fencing token. */
  | 'recorded';

/** The worker on a machine. Times are seconds of this process's steady clock. */
export interface WorkerState {
  /** The worker's agent epoch: rises whenever its lease has expired. */
  agentEpoch: number;
  /** Sequence of the newest message of the epoch: a heartbeat, or the answer to a direct command. */
  lastMessageSequence: number;
  /** Sequence of the newest heartbeat that was answered. */
  lastHeartbeatSequence: number;
  /** What answers carry: the term, or the revision of the record that fenced it last if later. */
  fencingToken: number;
  /** A heartbeat has shown this term's fencing token, so older commands and answers can have no effect. */
  termConfirmed: boolean;
  /** When the last heartbeat that was answered arrived. */
  answeredAt: number;
  /** Since when its heartbeats have been answered without a gap. */
  answeredSince: number;
  /** Since when its heartbeats have not shown the fencing token of the answers before them. */
  oldFencingTokenSince: number | null;

  /** State of the fencing of unacknowledged starts. */
  fence: Fence;
  /** Direct starts that were not answered and may still arrive, by attempt, and when they were sent. */
  unacknowledgedStarts: Map<string, number>;
  /** A direct command was sent, and its outcome is not known yet. */
  directCommandInFlight: boolean;
  /** No direct command is sent before. */
  noDirectCommandBefore: number;
}
