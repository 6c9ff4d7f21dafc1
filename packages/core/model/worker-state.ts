/** The leader's state for the worker on a machine, from the worker's heartbeats and the commands sent to it. */
import type { Order } from '#wire';

/** Progress of raising the machine's fencing token above that of direct starts that must have no effect. */
export type Fence =
  /** There are no starts to fence off. */
  | 'none'
  /** The next record of the machine is to provide a higher fencing token. */
  | 'requested'
  /** The fencing token is raised; earlier starts have no effect once the worker has shown the new one. */
  | 'raised';

/** A live attempt that no assignment named when it was found. */
export interface UnexpectedAttempt {
  attempt: number;
  /** The order to kill it, until a direct command carries the order. */
  directKill: Order | null;
  /** Whether the attempt was counted and reported. */
  isReported: boolean;
}

/** The worker on a machine. Times are seconds of this process's monotonic clock. */
export interface WorkerState {
  /** Agent epoch of the worker, which rises whenever the worker's lease has expired. */
  agentEpoch: number;
  /** Sequence of the newest message of the epoch: a heartbeat, or the answer to a direct command. */
  lastMessageSequence: number;
  /** Sequence of the newest heartbeat that was answered. */
  lastHeartbeatSequence: number;
  /** Fencing token that answers and direct commands carry: the term, or a later revision that this term has written. */
  fencingToken: number;
  /** Highest fencing token that a message of the worker has carried. */
  shownFencingToken: number;
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

  /** Live attempts that no assignment named when they were found, by task name. */
  unexpectedAttempts: Map<string, UnexpectedAttempt>;

  /** State of the fencing of direct starts. */
  fence: Fence;
  /**
   * Attempts that a direct command has started, with the fencing token of the command. A copy of the command may still
   * be admitted by the worker, whether the command was answered or not.
   */
  directStarts: Map<string, number>;
  /** Number of exited attempts in the newest task list that the worker must keep until copies of their starts are dead. */
  retainedAttempts: number;
  /** Since when there have been retained attempts, or their fencing token was last raised; null if there are none. */
  retainedSince: number | null;
  /** Direct starts that were not answered and may still arrive: time of sending by attempt. */
  unacknowledgedStarts: Map<string, number>;
  /** Whether a direct command was sent whose outcome is not known yet. */
  directCommandInFlight: boolean;
  /** No direct command is sent before this time. */
  noDirectCommandBefore: number;
}
