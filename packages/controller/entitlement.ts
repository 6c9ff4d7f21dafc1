import type { PeerStatus } from './peer-status.js';

/**
 * Whether the owner of a part may still answer workers (docs/safety.md, point 7). Two things must
 * hold: nobody else can act as the owner, and every cancellation that a user was told of is known.
 * Each is known for certain as of some moment; after the later of these moments the owner goes on for
 * a bounded time. All times are steady seconds of this process.
 */
export interface OwnerView {
  now: number;
  /** The part's term that is held. */
  term: number;
  /** The grant surely lives until then, so nobody else can own. */
  grantedUntil: number;
  /** When the last renewal of the grant that succeeded was sent: nobody else could own then. */
  grantAliveAt: number;
  /** When the newest request was sent that brought all cancellations in. */
  jobsCurrentAt: number;
  /** Revision up to which all cancellations are known here. */
  jobsRevision: number;
  /** When the first of our requests that failed since the last success was sent. */
  failingSince: number;
  /** The latest statement of each other controller; null if it was never heard. */
  peers: (PeerStatus | null)[];
}

export interface EntitlementLimits {
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
export type Entitlement = 'granted' | 'attested' | 'grace' | 'none';

/** Judges the owner of one term; make a new one for each. */
export class EntitlementJudge {
  /** Latest moment as of which the statements of all peers together were a proof. */
  private attestedAt = -Infinity;

  constructor(private readonly limits: EntitlementLimits) {}

  judge(view: OwnerView): Entitlement {
    const { now, peers } = view;
    const attestedAt = this.proofBy(view);
    this.attestedAt = Math.max(this.attestedAt, attestedAt);
    const informedAt = Math.max(view.jobsCurrentAt, this.attestedAt);
    if (now >= informedAt + this.limits.graceS) return 'none';
    if (now < view.grantedUntil) return 'granted';
    if (peers.some((peer) => peer !== null && this.isSuccessor(view, peer))) return 'none';
    const soleOwnerAt = Math.max(view.grantAliveAt, this.attestedAt);
    if (now >= soleOwnerAt + this.limits.graceS) return 'none';
    return now < attestedAt + this.limits.silenceS ? 'attested' : 'grace';
  }

  /** The peer owns, has seen a newer owner, or will claim: it is served while we are not. */
  private isSuccessor(view: OwnerView, peer: PeerStatus): boolean {
    if (peer.frame.holder.term > view.term) return true;
    const reachable = view.now - peer.heardAt <= this.limits.silenceS;
    // Whether we have failed again since doesn't matter: a cut that swallows requests shows their
    // failure only when they time out.
    const servedSince = peer.servedAt > view.failingSince + this.limits.silenceS / 4;
    return reachable && servedSince && !peer.frame.refused;
  }

  /**
   * The moment as of which all peers together prove both things, or -Infinity. Each peer states after
   * that moment that it does not own and has no claim under way, that the state service refuses it, so
   * that it can't claim, and which cancellations it knows or may have recorded.
   */
  private proofBy(view: OwnerView): number {
    const { peers } = view;
    if (peers.length !== this.limits.peerCount) return -Infinity;
    if (peers.length === 0) return view.now;
    return Math.min(...peers.map((peer) => this.attests(view, peer)));
  }

  private attests(view: OwnerView, peer: PeerStatus | null): number {
    if (peer === null || view.now - peer.heardAt > this.limits.silenceS) return -Infinity;
    const { refused, loaded, mayOwn, holder, cancelledSince } = peer.frame;
    const sole = refused && !mayOwn && holder.term <= view.term;
    const informed = loaded && cancelledSince <= view.jobsRevision;
    return sole && informed ? peer.asOf : -Infinity;
  }
}

/**
 * An owner that its workers can't reach holds its term while all their leases run out. It hears next to
 * none of the machines that should report, and its peers hear some of those ask for it.
 */
export function cutFromWorkers(machines: number, heard: number, heardByPeers: number): boolean {
  return heard < machines / 8 && heardByPeers > Math.max(heard, machines / 16);
}
