/** The checks by which a leader knows whether it may still act, and when it should step down. */
import { PeerProof, type ProofView } from '../peers/peer-proof.js';
import { isSuccessor } from './successor.js';

/**
 * What a leader knows about its right to act (docs/safety.md, point 7). Two things must hold: nobody else can
 * act as the leader, and every cancellation that a user was told of is known. Each is certain as of some
 * moment; after it the leader goes on for a bounded time. All times are steady seconds of this process.
 */
export interface LeaderLeaseView extends ProofView {
  /** The election lease surely lives until then, so nobody else can lead. */
  leaseProvenUntil: number;
  /** When the last successful renewal of the election lease was sent: nobody else could lead then. */
  leaseRenewedAt: number;
  /** When the newest request was sent that brought all cancellations in. */
  jobsCurrentAt: number;
  /** When the first of our requests that failed since the last success was sent. */
  failingSince: number;
}

/** The bounds of a leader lease. */
export interface LeaderLeaseLimits {
  /** Controllers besides this one. */
  peerCount: number;
  /** A peer without a statement for this long is unreachable. */
  silenceS: number;
  /** How long the leader may go on after the last moment at which all was certain; see graceAfterLoss. */
  graceS: number;
}

/**
 * The states of a leader lease. In all but the last, the leader answers workers and commands them.
 * - `granted`: the election lease proves that nobody else leads. The leader may scale out, and also in while the
 *   state service serves it.
 * - `attested`: the election lease is past its proven life, but all peers lately attested that they neither lead
 *   nor can campaign, and that no cancellation is unknown here. The leader may scale out.
 * - `grace`: neither is proven now, but both conditions were certain less than `graceS` ago. The leader may not
 *   scale.
 * - `none`: the leader may not act, and turns workers away. It follows also from `granted` once cancellations may
 *   have been unknown for `graceS`.
 */
export type LeaderLeaseState = 'granted' | 'attested' | 'grace' | 'none';

/** Evaluates the lease of the leader of one term; make a new one for each. */
export class LeaderLeaseCheck {
  private readonly proof: PeerProof;

  constructor(private readonly limits: LeaderLeaseLimits) {
    this.proof = new PeerProof(limits.peerCount);
  }

  /** The state at `view.now`. What peers attested is remembered from one call to the next. */
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

/** A leader that a smaller share of its machines reaches is out of their reach. */
const MIN_REACHABLE_SHARE = 1 / 8;
/** More than this share of the machines must reach peers before a leader steps down for it. */
const MIN_SHARE_REACHING_PEERS = 1 / 16;

/** Whether so few of the machines that should send heartbeats lately did that most can't reach the leader. */
export function reachesFewWorkers(machines: number, reachable: number): boolean {
  return reachable < machines * MIN_REACHABLE_SHARE;
}

/**
 * Whether the leader should step down since its workers can't reach it: it would hold its term while all their
 * leases expire. Next to no machine that should send heartbeats reaches it, and some of them reach its peers.
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
