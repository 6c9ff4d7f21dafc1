/** Tells workers where to find the leader, and whether they could fail over if the leader fell silent. */
import { isReachable, type PeerStatus } from '../peers/peer-status.js';

/** Statuses that a follower has received from the other controllers. Times are seconds of the monotonic clock. */
export interface LeaderReachabilityView {
  now: number;
  /** The latest status of the leader; null if none has arrived. */
  leader: PeerStatus | null;
  /** The latest status of each other controller; null if none has arrived. */
  peers: (PeerStatus | null)[];
  /** A controller that has sent no status for this long is unreachable. */
  silenceS: number;
}

/**
 * Whether a worker that asks for the leader should be redirected to it. A redirect to a silent or partitioned leader
 * makes the worker wait several seconds for an answer, which may use up the rest of the worker's lease. A worker that
 * tries the other controllers instead soon finds the next leader.
 */
export function shouldRedirectToLeader({
  now,
  leader,
  peers,
  silenceS,
}: LeaderReachabilityView): boolean {
  if (leader === null) return true;
  if (isReachable(leader, now, silenceS)) return !leader.frame.unreachable;
  // If this controller reaches no peer at all, it can't tell whether other controllers still reach the leader.
  return !peers.some((peer) => isReachable(peer, now, silenceS));
}

/**
 * The controller that workers try next when this one does not answer; null if this controller has no peers. Assumes
 * that workers try controllers in the numeric order of their names, which the protocol does not guarantee.
 */
export function nextControllerForWorkers(self: string, peers: readonly string[]): string | null {
  if (peers.length === 0) return null;
  const names = [self, ...peers].sort(compareByNumber);
  return names[(names.indexOf(self) + 1) % names.length];
}

/** Compares shorter names as smaller, so that `c-10` sorts after `c-9`. */
function compareByNumber(one: string, other: string): number {
  return one.length - other.length || (one < other ? -1 : 1);
}

/**
 * Whether workers would lose their leases if this controller led and then fell silent. They would first wait for an
 * answer from this controller and then wait again at the next one, which is unreachable already. True only if some
 * other peer is reachable: that peer should lead rather than this controller.
 */
export function wouldLoseWorkerLeases(
  next: PeerStatus | null,
  { now, peers, silenceS }: Omit<LeaderReachabilityView, 'leader'>,
): boolean {
  if (isReachable(next, now, silenceS)) return false;
  return peers.some((peer) => isReachable(peer, now, silenceS));
}
