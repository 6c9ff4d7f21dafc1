/** Proofs that follow from the statuses of all peers together (docs/safety.md, point 7). */
import type { PeerStatus } from './peer-status.js';

/** Input of the proofs about one term. Times are in seconds of the monotonic clock. */
export interface ProofView {
  now: number;
  term: number;
  /** Revision up to which this controller knows all cancellations. */
  jobsRevision: number;
  /** The latest status of each other controller; null if none has arrived. */
  peers: (PeerStatus | null)[];
}

/**
 * Proves two facts about one term from the statuses of all peers: that no controller leads in a newer term,
 * and that this controller knows every confirmed cancellation. Each proof holds as of some moment, in seconds
 * of this process's monotonic clock.
 */
export class PeerProof {
  /** No controller led in a newer term as of this moment. */
  soleLeaderAt = -Infinity;
  /** For each peer: this controller knows all cancellations that the peer had confirmed by this moment. */
  private readonly knownAtByPeer: number[];

  constructor(private readonly peerCount: number) {
    this.knownAtByPeer = new Array<number>(peerCount).fill(-Infinity);
  }

  /** This controller knows every cancellation that any peer had confirmed by this moment. */
  get cancellationsKnownAt(): number {
    return this.peerCount === 0 ? Infinity : Math.min(...this.knownAtByPeer);
  }

  /** Records both proofs. */
  record(view: ProofView): void {
    this.recordSoleLeader(view);
    this.recordKnownCancellations(view);
  }

  /** Updates `soleLeaderAt` with what the statuses prove about leaders of newer terms. */
  recordSoleLeader(view: ProofView): void {
    const { now, peers } = view;
    // A list of other peers than those in the settings proves nothing.
    if (peers.length !== this.peerCount) return;
    const soleLeaderAt = peers.map((peer) => soleLeaderAsOf(view, peer));
    this.soleLeaderAt = Math.max(this.soleLeaderAt, Math.min(now, ...soleLeaderAt));
  }

  /** Updates `cancellationsKnownAt` with what the statuses prove about known cancellations. */
  recordKnownCancellations(view: ProofView): void {
    const { peers } = view;
    if (peers.length !== this.peerCount) return;
    peers.forEach((peer, index) => {
      const knownAt = cancellationsKnownAsOf(view, peer);
      this.knownAtByPeer[index] = Math.max(this.knownAtByPeer[index], knownAt);
    });
  }
}

/**
 * The moment as of which the peer certainly did not lead and could not be elected: the state service
 * refused its requests, and none of its campaigns was in flight. -Infinity without such proof.
 */
function soleLeaderAsOf(view: ProofView, peer: PeerStatus | null): number {
  if (peer === null) return -Infinity;
  const { refused, mayLead, newestLeader } = peer.frame;
  return refused && !mayLead && newestLeader.term <= view.term ? peer.statedAfter : -Infinity;
}

/**
 * The moment as of which the peer had certainly listed all cancellations that it knew or might have
 * recorded, including those of its earlier incarnations. -Infinity without such proof.
 */
function cancellationsKnownAsOf(view: ProofView, peer: PeerStatus | null): number {
  if (peer === null) return -Infinity;
  const { loaded, cancelledSince } = peer.frame;
  return loaded && cancelledSince <= view.jobsRevision ? peer.statedAfter : -Infinity;
}
