import type { PeerStatus } from '../peers/peer-status.js';
import { PeerProof, ProofView } from '../peers/peer-proof.js';

/**
 * Whether the owner of a part may still answer workers (docs/safety.md, point 7). Two things must
 * hold: nobody else can act as the owner, and every cancellation that a user was told of is known.
 * Each is known for certain as of some moment; after the later of these moments the owner goes on for
 * a bounded time. All times are steady seconds of this process.
 */
export interface LeaderLeaseView extends ProofView {
  /** The grant surely lives until then, so nobody else can own. */
  leaseProvenUntil: number;
  /** When the last renewal of the grant that succeeded was sent: nobody else could own then. */
  leaseRenewedAt: number;
  /** When the newest request was sent that brought all cancellations in. */
  jobsCurrentAt: number;
  /** When the first of our requests that failed since the last success was sent. */
  failingSince: number;
}

export interface LeaderLeaseLimits {
  /** Controllers besides this one. */
  peerCount: number;
  /** A peer that was not heard for this long is out of reach. */
  silenceS: number;
  /** How long the owner may go on after the last moment at which all was certain; see graceAfterLoss. */
  graceS: number;
}

/**
 * - `granted`: the grant proves that nobody else owns;
 * - `attested`: the state service serves nobody, as all peers state;
 * - `grace`: nothing is proven now, but it was a short time ago;
 * - `none`: workers must be turned away.
 */
export type LeaderLeaseState = 'granted' | 'attested' | 'grace' | 'none';

/** Judges the owner of one term; make a new one for each. */
export class LeaderLeaseCheck {
  private readonly proof: PeerProof;

  constructor(private readonly limits: LeaderLeaseLimits) {
    this.proof = new PeerProof(limits.peerCount);
  }

  evaluate(view: LeaderLeaseView): LeaderLeaseState {
    const { now } = view;
    const { graceS, silenceS } = this.limits;
    this.proof.record(view);
    const informedAt = Math.max(view.jobsCurrentAt, this.proof.informedAt);
    if (now >= informedAt + graceS) return 'none';
    if (now < view.leaseProvenUntil) return 'granted';
    if (view.peers.some((peer) => isSuccessor(view, peer, silenceS))) return 'none';
    const soleLeaderAt = Math.max(view.leaseRenewedAt, this.proof.soleLeaderAt);
    if (now >= soleLeaderAt + graceS) return 'none';
    const attestedAt = Math.min(this.proof.soleLeaderAt, this.proof.informedAt);
    return now < attestedAt + silenceS ? 'attested' : 'grace';
  }
}

/** What shows that somebody else owns, or will claim. */
export interface SuccessorView {
  now: number;
  term: number;
  failingSince: number;
}

/** The peer owns, has seen a newer owner, or will claim: it is served while we are not. */
export function isSuccessor(
  view: SuccessorView,
  peer: PeerStatus | null,
  silenceS: number,
): boolean {
  if (peer === null) return false;
  if (peer.frame.newestLeader.term > view.term) return true;
  const reachable = view.now - peer.receivedAt <= silenceS;
  // Whether we have failed again since doesn't matter: a cut that swallows requests shows their
  // failure only when they time out.
  const servedSince = peer.servedAt > view.failingSince + silenceS / 4;
  return reachable && servedSince && !peer.frame.refused;
}

/** Of the machines that should report, an owner lately heard so few that most can't reach it. */
export function reachesFewWorkers(machines: number, reachable: number): boolean {
  return reachable < machines / 8;
}

/**
 * An owner that its workers can't reach holds its term while all their leases run out. It hears next to
 * none of the machines that should report, and its peers hear some of those ask for it.
 */
export function isIsolatedFromWorkers(
  machines: number,
  reachable: number,
  reachableByPeers: number,
): boolean {
  return (
    reachesFewWorkers(machines, reachable) && reachableByPeers > Math.max(reachable, machines / 16)
  );
}
