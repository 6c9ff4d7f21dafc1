/** What the statements of all peers prove together (docs/safety.md, point 7). */
import type { PeerStatus } from './peer-status.js';

/** What a proof about one term is drawn from; times are steady seconds. */
export interface ProofView {
  now: number;
  term: number;
  /** Revision up to which all cancellations are known here. */
  jobsRevision: number;
  /** The latest statement of each other controller; null if none has arrived. */
  peers: (PeerStatus | null)[];
}

/**
 * Proves two things about one term from the statements of all peers: that nobody leads in a newer one,
 * and that every confirmed cancellation is known here. Each is certain as of some moment; all moments
 * are steady seconds of this process.
 */
export class PeerProof {
  /** Nobody led in a newer term as of this moment. */
  soleLeaderAt = -Infinity;
  /** For each peer, the moment as of which all cancellations that it had confirmed are known. */
  private readonly knownAtByPeer: number[];

  constructor(private readonly peerCount: number) {
    this.knownAtByPeer = new Array<number>(peerCount).fill(-Infinity);
  }

  /** Every cancellation that any peer had confirmed by this moment is known. */
  get informedAt(): number {
    return this.peerCount === 0 ? Infinity : Math.min(...this.knownAtByPeer);
  }

  /** Records both proofs. */
  record(view: ProofView): void {
    this.recordSoleLeader(view);
    this.recordInformed(view);
  }

  /** Records since when the statements prove that nobody leads in a newer term. */
  recordSoleLeader(view: ProofView): void {
    const { now, peers } = view;
    // Peers that the settings don't name can't attest anything.
    if (peers.length !== this.peerCount) return;
    const soleLeaderAt = peers.map((peer) => soleLeaderAsOf(view, peer));
    this.soleLeaderAt = Math.max(this.soleLeaderAt, Math.min(now, ...soleLeaderAt));
  }

  /** Records since when the statements prove that every confirmed cancellation is known here. */
  recordInformed(view: ProofView): void {
    const { peers } = view;
    if (peers.length !== this.peerCount) return;
    peers.forEach((peer, index) => {
      const knownAt = cancellationsKnownAsOf(view, peer);
      this.knownAtByPeer[index] = Math.max(this.knownAtByPeer[index], knownAt);
    });
  }
}

/**
 * The moment as of which the peer surely did not lead and could not be elected: the state service
 * refused it, and no campaign of its own was under way.
 */
function soleLeaderAsOf(view: ProofView, peer: PeerStatus | null): number {
  if (peer === null) return -Infinity;
  const { refused, mayLead, newestLeader } = peer.frame;
  return refused && !mayLead && newestLeader.term <= view.term ? peer.statedAfter : -Infinity;
}

/**
 * The moment as of which the peer surely had listed all cancellations that it knew or might have
 * recorded, those of its earlier incarnations included.
 */
function cancellationsKnownAsOf(view: ProofView, peer: PeerStatus | null): number {
  if (peer === null) return -Infinity;
  const { loaded, cancelledSince } = peer.frame;
  return loaded && cancelledSince <= view.jobsRevision ? peer.statedAfter : -Infinity;
}
