/** Checks whether a leader may still act, and whether it should step down. */
import { PeerProof, type ProofView } from '../peers/peer-proof.js';
import { isSuccessor } from './successor.js';

/**
 * Evidence for a leader's right to act (docs/safety.md, point 7). Two conditions must hold: no other controller can
 * act as the leader, and this leader knows every cancellation that was confirmed to a user. Each condition was last
 * proven as of some moment, and the leader may act for a bounded time after that moment. All times are seconds of
 * this process's monotonic clock.
 */
export interface LeaderLeaseView extends ProofView {
  /** Until this moment the election lease is certain to be alive, so no other controller can lead. */
  leaseProvenUntil: number;
  /** When the last successful renewal of the election lease was sent. No other controller could lead then. */
  leaseRenewedAt: number;
  /** When the newest request was sent whose answer brought the job cache up to date with all cancellations. */
  jobsCurrentAt: number;
  /** When the first request to the state service that has failed since the last success was sent. */
  failingSince: number;
}

/** The bounds of a leader lease. */
export interface LeaderLeaseLimits {
  /** Number of controllers besides this one. */
  peerCount: number;
  /** A peer that has sent no status for this long is unreachable. */
  silenceS: number;
  /** How long the leader may act after the last moment at which both conditions were proven; see leaderGraceS. */
  graceS: number;
}

/**
 * The states of a leader lease. In all states but `none`, the leader answers and commands workers.
 * - `granted`: the election lease proves that no other controller leads. The leader may scale out. It may also scale
 *   in while the state service serves it.
 * - `attested`: the election lease may have expired, but every peer attested within the last `silenceS` that it
 *   neither leads nor can campaign, and that it knows of no cancellation unknown to the leader. The leader may scale
 *   out.
 * - `grace`: neither the election lease nor the peers prove the right to act, but both conditions were proven less
 *   than `graceS` ago. The leader may not scale.
 * - `none`: the leader may not act, and turns workers away. Even a live election lease ends in this state once
 *   cancellations may have been unknown for `graceS`.
 */
export type LeaderLeaseState = 'granted' | 'attested' | 'grace' | 'none';

/** Evaluates the leader lease of one term. Each term needs a new instance. */
export class LeaderLeaseCheck {
  private readonly proof: PeerProof;

  constructor(private readonly limits: LeaderLeaseLimits) {
    this.proof = new PeerProof(limits.peerCount);
  }

  /** Returns the state at `view.now`. The instance remembers what peers attested in earlier calls. */
  evaluate(view: LeaderLeaseView): LeaderLeaseState {
    const { now } = view;
    const { graceS, silenceS } = this.limits;
    this.proof.record(view);
    const informedAt = Math.max(view.jobsCurrentAt, this.proof.cancellationsKnownAt);
    if (now >= informedAt + graceS) return 'none';
    if (now < view.leaseProvenUntil) return 'granted';
    if (view.peers.some((peer) => isSuccessor(view, peer, silenceS))) return 'none';
    const soleLeaderAt = Math.max(view.leaseRenewedAt, this.proof.soleLeaderAt);
    if (now >= soleLeaderAt + graceS) return 'none';
    const attestedAt = Math.min(this.proof.soleLeaderAt, this.proof.cancellationsKnownAt);
    return now < attestedAt + silenceS ? 'attested' : 'grace';
  }
}

/** The leader is unreachable for its workers if less than this share of its machines reaches it. */
const MIN_REACHABLE_SHARE = 1 / 8;
/** An unreachable leader steps down only if more than this share of its machines reaches its peers. */
const MIN_SHARE_REACHING_PEERS = 1 / 16;

/**
 * Whether so few of the machines that should send heartbeats did so recently that most workers can't reach the leader.
 */
export function reachesFewWorkers(machines: number, reachable: number): boolean {
  return reachable < machines * MIN_REACHABLE_SHARE;
}

/**
 * Whether the leader should step down because its workers can't reach it. Otherwise it would keep its term while all
 * worker leases expire. True if almost no machine that should send heartbeats reaches the leader while more machines,
 * and more than a small share, reach its peers.
 */
export function isIsolatedFromWorkers(
  machines: number,
  reachable: number,
  reachableByPeers: number,
): boolean {
  return (
    reachesFewWorkers(machines, reachable) &&
    reachableByPeers > Math.max(reachable, machines * MIN_SHARE_REACHING_PEERS)
  );
}
