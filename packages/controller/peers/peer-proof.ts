import type { PeerStatus } from './peer-status.js';

/** What a proof about one term is drawn from. */
export interface ProofView {
  now: number;
  term: number;
  /** Revision up to which all cancellations are known here. */
  jobsRevision: number;
  /** The latest statement of each other controller; null if it was never heard. */
  peers: (PeerStatus | null)[];
}

/**
 * What the statements of all peers together prove about one term: that nobody owns a newer one, and that
 * every confirmed cancellation is known here. Each is certain as of some moment (docs/safety.md, point
 * 7); steady seconds of this process.
 */
export class PeerProof {
  /** Nobody owned a newer term as of this moment. */
  soleLeaderAt = -Infinity;
  /** All that each peer had confirmed is known as of this moment. */
  private readonly informedBy: number[];

  constructor(private readonly peerCount: number) {
    this.informedBy = new Array<number>(peerCount).fill(-Infinity);
  }

  /** Every cancellation that any peer had confirmed by this moment is known. */
  get informedAt(): number {
    return this.peerCount === 0 ? Infinity : Math.min(...this.informedBy);
  }

  /** Takes in what the statements prove by now. */
  record(view: ProofView): void {
    this.recordSoleLeader(view);
    this.recordInformed(view);
  }

  recordSoleLeader(view: ProofView): void {
    const { now, peers } = view;
    // Peers that the settings don't name can't attest anything.
    if (peers.length !== this.peerCount) return;
    const soleLeaderAt = peers.map((peer) => soleLeaderAsOf(view, peer));
    this.soleLeaderAt = Math.max(this.soleLeaderAt, Math.min(now, ...soleLeaderAt));
  }

  recordInformed(view: ProofView): void {
    const { peers } = view;
    if (peers.length !== this.peerCount) return;
    peers.forEach((peer, i) => {
      this.informedBy[i] = Math.max(this.informedBy[i], informedAsOf(view, peer));
    });
  }
}

/**
 * The peer does not own, has no claim under way, and is refused by the state service, so that it can't
 * claim.
 */
function soleLeaderAsOf(view: ProofView, peer: PeerStatus | null): number {
  if (peer === null) return -Infinity;
  const { refused, mayLead, newestLeader } = peer.frame;
  return refused && !mayLead && newestLeader.term <= view.term ? peer.asOf : -Infinity;
}

/** The peer lists all cancellations that it knows or may have recorded, those of its earlier lives too. */
function informedAsOf(view: ProofView, peer: PeerStatus | null): number {
  if (peer === null) return -Infinity;
  const { loaded, cancelledSince } = peer.frame;
  return loaded && cancelledSince <= view.jobsRevision ? peer.asOf : -Infinity;
}
