/** Checks whether a follower may renew worker leases while the state service is unavailable. */
import type { LeaderLeaseLimits } from './leader-lease-check.js';
import { isSuccessor, type SuccessorView } from './successor.js';
import { PeerProof, type ProofView } from '../peers/peer-proof.js';
import type { PeerStatus } from '../peers/peer-status.js';

/**
 * State of a follower and statuses of its peers, as input of the check. Times are seconds of this process's monotonic
 * clock.
 */
export interface StandbyView extends ProofView, SuccessorView {
  /** Whether this controller leads or may still win a campaign that it has started. */
  mayLead: boolean;
  /** When the newest request was sent whose answer brought the job cache up to date with all cancellations. */
  jobsCurrentAt: number;
}

/**
 * Checks whether a follower may renew worker leases for a leader that has ended, while the state service serves no
 * controller and so none can take over. Such a follower starts no tasks: it answers with the fencing token of the
 * ended leader and stops tasks that users have cancelled. The safety argument is that of a leader in an outage
 * (docs/safety.md, point 7), with one further condition: the leader of the term must have ended, since a running
 * leader would count the leases that the follower renews as expired. Each term needs a new instance.
 */
export class StandbyRenewalCheck {
  private readonly proof: PeerProof;
  /** The incarnation of the process that led the term; null until a status from that process has said so. */
  private leaderIncarnation: number | null = null;
  /** The largest fencing token that the leader of the term has stated; 0 before its first status. */
  newestFencingToken = 0;

  constructor(private readonly limits: LeaderLeaseLimits) {
    this.proof = new PeerProof(limits.peerCount);
  }

  /** Records the status of all peers. Must be called whenever a new status has arrived. */
  record(view: StandbyView, leader: PeerStatus | null): void {
    const leadsTerm = leader?.frame.leading && leader.frame.newestLeader.term === view.term;
    if (leadsTerm) {
      this.leaderIncarnation = leader.frame.incarnation;
      this.newestFencingToken = Math.max(this.newestFencingToken, leader.frame.newestFencingToken);
    }
    if (this.leaderHasEnded(leader)) this.proof.record(view);
    else this.proof.recordKnownCancellations(view);
  }

  /** Whether leases may be renewed at `view.now`. */
  mayRenew(view: StandbyView, leader: PeerStatus | null): boolean {
    const { graceS, silenceS } = this.limits;
    if (view.mayLead || !this.leaderHasEnded(leader)) return false;
    if (view.peers.some((peer) => isSuccessor(view, peer, silenceS))) return false;
    const informedAt = Math.max(view.jobsCurrentAt, this.proof.cancellationsKnownAt);
    return view.now < Math.min(informedAt, this.proof.soleLeaderAt) + graceS;
  }

  /** Whether the process that led the term has a new incarnation, or reports that it can no longer lead. */
  private leaderHasEnded(leader: PeerStatus | null): boolean {
    if (leader === null || this.leaderIncarnation === null) return false;
    return leader.frame.incarnation !== this.leaderIncarnation || !leader.frame.mayLead;
  }
}
