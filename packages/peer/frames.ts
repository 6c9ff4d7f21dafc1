/** The frames that controllers exchange; frame-codec.ts encodes and decodes them. */

/** One message from a controller to a peer. */
export type Frame = HelloFrame | StatusFrame | CancellationFrame | CountsFrame;

/** Names the sender on a connection; always the connection's first frame. */
export interface HelloFrame {
  kind: 'hello';
  name: string;
}

/**
 * The sender's status for one recipient: whether the state service serves the sender, and what the sender
 * knows. Together with `echo`, it lets a leader prove that no other controller can lead its shard and that the
 * leader knows every confirmed cancellation (docs/safety.md, point 7).
 */
export interface StatusFrame {
  kind: 'status';
  /** Identifies one run of the sender's process; drawn at random at its start. */
  incarnation: number;
  /** Increases with every round of status frames of this incarnation. */
  sequence: number;
  /** The newest status frame of the recipient that the sender had read; null before the first. */
  echo: StatusReference | null;
  /** Milliseconds since the sender sent its newest request that the state service served. */
  servedAgoMs: number;
  /** The state service did not serve the sender's newest request whose outcome is known. */
  refused: boolean;
  /** This incarnation has read all job records, so `cancelled` lacks no record of an earlier incarnation. */
  loaded: boolean;
  /** The sender leads the shard. */
  leading: boolean;
  /** The sender leads the shard, or one of the sender's campaigns is in flight and may still succeed. */
  mayLead: boolean;
  /** Newest leader of the shard that the sender has seen; term 0 if none. */
  newestLeader: { term: number; name: string };
  /**
   * The largest fencing token that the sender may have handed out in its term. 0 if the sender does not lead, or if the
   * state service serves it: nobody else answers workers then.
   */
  newestFencingToken: number;
  /** The sender leads the shard, but hardly any of its workers reach it. */
  unreachable: boolean;
  /** Number of workers whose heartbeats recently reached the sender while it was a follower. */
  followerHeartbeats: number;
  /** Revision up to which the sender's cache of the jobs is complete. */
  jobsRevision: number;
  /** `cancelled` holds all cancellations known to the sender that are newer than this revision. */
  cancelledSince: number;
  /** Cancelled jobs, and jobs whose cancellation was requested and may have been recorded. */
  cancelled: CancellationNotice[];
}

/** A cancellation that the sender knows of. */
export interface CancellationNotice {
  job: string;
  /** Milliseconds since the user's request, as far as the sender knows; 0 if the cancellation is recorded. */
  ageMs: number;
}

/** Identifies one round of status frames of a sender. */
export interface StatusReference {
  incarnation: number;
  sequence: number;
}

/** A user's cancellation request, sent before the cancellation is recorded. */
export interface CancellationFrame extends CancellationNotice {
  kind: 'cancel';
}

/** Task counts for display. */
export interface CountsFrame {
  kind: 'counts';
  jobs: { job: string; done: number; running: number }[];
}
