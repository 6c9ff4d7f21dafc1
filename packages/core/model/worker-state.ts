/** The leader's state for the worker on a machine, from the worker's heartbeats and the commands sent to it. */

/** Progress of raising the machine's fencing token above that of unacknowledged starts. */
export type Fence =
  /** There are no starts to fence off. */
  | 'none'
  /** The next record of the machine is to raise its fencing token. */
  | 'requested'
  /** The record is written; earlier starts have no effect once a heartbeat carries the new fencing token. */
  | 'recorded';

/** The worker on a machine. Times are seconds of this process's monotonic clock. */
export interface WorkerState {
  /** Agent epoch of the worker, which rises whenever the worker's lease has expired. */
  agentEpoch: number;
  /** Sequence of the newest message of the epoch: a heartbeat, or the answer to a direct command. */
  lastMessageSequence: number;
  /** Sequence of the newest heartbeat that was answered. */
  lastHeartbeatSequence: number;
  /**
   * Fencing token that answers carry: the term, or the revision of the last record that raised the token, if that is
   * later.
   */
  fencingToken: number;
  /** Whether a heartbeat has carried this term's fencing token, so that older commands and answers have no effect. */
  termConfirmed: boolean;
  /** When the last heartbeat that was answered arrived. */
  answeredAt: number;
  /** Time since which the worker's heartbeats have been answered without a gap. */
  answeredSince: number;
  /**
   * Time since which the worker's heartbeats have carried a fencing token older than the term of the answers; null if
   * they don't.
   */
  oldFencingTokenSince: number | null;

  /** State of the fencing of unacknowledged starts. */
  fence: Fence;
  /** Direct starts that were not answered and may still arrive: time of sending by attempt. */
  unacknowledgedStarts: Map<string, number>;
  /** Whether a direct command was sent whose outcome is not known yet. */
  directCommandInFlight: boolean;
  /** No direct command is sent before this time. */
  noDirectCommandBefore: number;
}
