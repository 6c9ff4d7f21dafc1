import { LeaderLeaseLimits, isSuccessor, SuccessorView } from './leader-lease-check.js';
import { PeerProof, ProofView } from '../peers/peer-proof.js';
import type { PeerStatus } from '../peers/peer-status.js';

/** What a controller that does not own knows; steady seconds of this process. */
export interface StandbyView extends ProofView, SuccessorView {
  /** This controller owns, or a claim of its may still be carried out. */
  mayLead: boolean;
  /** When the newest request was sent that brought all cancellations in. */
  jobsCurrentAt: number;
}

/**
 * Whether a controller that does not own may renew the leases of workers for an owner that has ended,
 * while the state service serves nobody and no other can take over. It starts nothing; it answers with
 * the ended owner's token, and halts what users have cancelled. Judges one term; make a new one for
 * each. The argument is that of an owner in an outage (docs/safety.md, point 7), and besides that the owner
 * of the term has ended: otherwise it would count the leases that we renew as run out.
 */
export class StandbyRenewalCheck {
  private readonly proof: PeerProof;
  /** The life of the owner's process in which it owned the term, once it has stated so. */
  private leaderIncarnation: number | null = null;

  constructor(private readonly limits: LeaderLeaseLimits) {
    this.proof = new PeerProof(limits.peerCount);
  }

  /** Takes in the peers' statements; to be called whenever one has come. */
  record(view: StandbyView, leader: PeerStatus | null): void {
    const ownsTerm = leader?.frame.leading && leader.frame.newestLeader.term === view.term;
    if (ownsTerm) this.leaderIncarnation = leader.frame.incarnation;
    if (this.leaderHasEnded(leader)) this.proof.record(view);
    else this.proof.recordInformed(view);
  }

  mayRenew(view: StandbyView, leader: PeerStatus | null): boolean {
    const { graceS, silenceS } = this.limits;
    if (view.mayLead || !this.leaderHasEnded(leader)) return false;
    if (view.peers.some((peer) => isSuccessor(view, peer, silenceS))) return false;
    const informedAt = Math.max(view.jobsCurrentAt, this.proof.informedAt);
    return view.now < Math.min(informedAt, this.proof.soleLeaderAt) + graceS;
  }

  /** The process that owned the term has a new life, or states that it owns no longer. */
  private leaderHasEnded(leader: PeerStatus | null): boolean {
    if (leader === null || this.leaderIncarnation === null) return false;
    return leader.frame.incarnation !== this.leaderIncarnation || !leader.frame.mayLead;
  }
}
