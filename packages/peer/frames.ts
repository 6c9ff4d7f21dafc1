/** What controllers tell each other; frame-codec.ts maps it to bytes. */

/** One message from a controller to a peer. */
export type Frame = HelloFrame | StatusFrame | CancellationFrame | CountsFrame;

/** Who sends on this connection; always the first frame. */
export interface HelloFrame {
  kind: 'hello';
  name: string;
}

/**
 * How the sender is served by the state service and what it knows, made for one recipient. Together
 * with `echo` it lets a leader prove that nobody else can lead its shard and that it knows every
 * confirmed cancellation (docs/safety.md, point 7).
 */
export interface StatusFrame {
  kind: 'status';
  /** Identifies one run of the sender's process; drawn at random when it began. */
  incarnation: number;
  /** Rises with every status frame of this incarnation. */
  sequence: number;
  /** The newest status frame of the recipient that the sender had read; null before the first. */
  echo: StatusReference | null;
  /** How long ago the newest request was sent that the state service served; milliseconds. */
  servedAgoMs: number;
  /** The newest request whose outcome is known was not served. */
  refused: boolean;
  /** All job records were read in this incarnation, so `cancelled` misses none that an earlier one recorded. */
  loaded: boolean;
  /** The sender leads the shard. */
  leading: boolean;
  /** The sender leads the shard, or a campaign that it sent may still be carried out. */
  mayLead: boolean;
  /** Newest leader of the shard that the sender has seen; term 0 if none. */
  newestLeader: { term: number; name: string };
  /** The sender leads the shard, but next to none of its workers can reach it. */
  unreachable: boolean;
  /** How many workers' heartbeats lately reached the sender though it is a follower. */
  followerHeartbeats: number;
  /** Revision up to which the sender's cache of the jobs is complete. */
  jobsRevision: number;
  /** `cancelled` holds all cancellations known to the sender that are newer than this revision. */
  cancelledSince: number;
  /** Jobs that are cancelled, or whose cancellation the sender was asked for and may have recorded. */
  cancelled: CancellationNotice[];
}

/** A cancellation that the sender knows of. */
export interface CancellationNotice {
  job: string;
  /** How long ago a user asked for it, as far as the sender knows; 0 if it is recorded. Milliseconds. */
  ageMs: number;
}

/** One status frame among those of its sender. */
export interface StatusReference {
  incarnation: number;
  sequence: number;
}

/** A user has asked for this cancellation; sent before the record is made. */
export interface CancellationFrame extends CancellationNotice {
  kind: 'cancel';
}

/** Task counts for display. */
export interface CountsFrame {
  kind: 'counts';
  jobs: { job: string; done: number; running: number }[];
}
