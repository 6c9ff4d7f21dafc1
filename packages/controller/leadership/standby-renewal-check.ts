/** The check by which a follower knows whether it may renew worker leases in an outage. */
import type { LeaderLeaseLimits } from './leader-lease-check.js';
import { isSuccessor, type SuccessorView } from './successor.js';
import { PeerProof, type ProofView } from '../peers/peer-proof.js';
import type { PeerStatus } from '../peers/peer-status.js';

/** What a follower knows; steady seconds of this process. */
export interface StandbyView extends ProofView, SuccessorView {
  /** This controller leads, or a campaign of its may still succeed. */
  mayLead: boolean;
  /** When the newest request was sent that brought all cancellations in. */
  jobsCurrentAt: number;
}

/**
 * Whether a follower may renew the leases of workers for a leader that has ended, while the state service
 * serves nobody and no other controller can fail over. It starts nothing; it answers with the ended leader's
 * fencing token, and halts what users have cancelled. Checks one term; make a new one for each. The argument is
 * that of a leader in an outage (docs/safety.md, point 7), and besides that the leader of the term has ended:
 * otherwise it would count the leases that we renew as expired.
 */
export class StandbyRenewalCheck {
  private readonly proof: PeerProof;
  /** The incarnation of the leader's process that led the term, once it has stated so. */
  private leaderIncarnation: number | null = null;

  constructor(private readonly limits: LeaderLeaseLimits) {
    this.proof = new PeerProof(limits.peerCount);
  }

  /** Records what the peers state; to be called whenever a statement has come. */
  record(view: StandbyView, leader: PeerStatus | null): void {
    const leadsTerm = leader?.frame.leading && leader.frame.newestLeader.term === view.term;
    if (leadsTerm) this.leaderIncarnation = leader.frame.incarnation;
    if (this.leaderHasEnded(leader)) this.proof.record(view);
    else this.proof.recordInformed(view);
  }

  /** Whether leases may be renewed at `view.now`. */
  mayRenew(view: StandbyView, leader: PeerStatus | null): boolean {
    const { graceS, silenceS } = this.limits;
    if (view.mayLead || !this.leaderHasEnded(leader)) return false;
    if (view.peers.some((peer) => isSuccessor(view, peer, silenceS))) return false;
    const informedAt = Math.max(view.jobsCurrentAt, this.proof.informedAt);
    return view.now < Math.min(informedAt, this.proof.soleLeaderAt) + graceS;
  }

  /** The process that led the term has a new incarnation, or states that it leads no longer. */
  private leaderHasEnded(leader: PeerStatus | null): boolean {
    if (leader === null || this.leaderIncarnation === null) return false;
    return leader.frame.incarnation !== this.leaderIncarnation || !leader.frame.mayLead;
  }
}
