/** Where workers find the leader, and what becomes of them if it falls silent. */
import { isReachable, type PeerStatus } from '../peers/peer-status.js';

/** The leader as a follower knows it; steady seconds. */
export interface LeaderReachabilityView {
  now: number;
  /** The leader's latest statement; null if there never was one. */
  leader: PeerStatus | null;
  /** The latest statement of each other controller; null if there never was one. */
  peers: (PeerStatus | null)[];
  /** A controller without a statement for this long is unreachable. */
  silenceS: number;
}

/**
 * Whether a worker that asks for the leader should be redirected to it. A worker waits for several seconds for
 * the answer of a leader that is silent or partitioned, which may be the rest of its lease; elsewhere it soon
 * finds the next leader.
 */
export function mayReachLeader({ now, leader, peers, silenceS }: LeaderReachabilityView): boolean {
  if (leader === null) return true;
  if (isReachable(leader, now, silenceS)) return !leader.frame.unreachable;
  // Partitioned from all peers, this controller can't tell whether the leader is silent for others too.
  return !peers.some((peer) => isReachable(peer, now, silenceS));
}

/**
 * The controller that workers try after this one, when it does not answer them; null if it has no peers. Workers
 * are taken to know the controllers in the order of their names' numbers, which the protocol does not promise.
 */
export function nextControllerForWorkers(self: string, peers: readonly string[]): string | null {
  if (peers.length === 0) return null;
  const names = [self, ...peers].sort(compareByNumber);
  return names[(names.indexOf(self) + 1) % names.length];
}

/** Shorter names first, so that `c-10` comes after `c-9`. */
function compareByNumber(one: string, other: string): number {
  return one.length - other.length || (one < other ? -1 : 1);
}

/**
 * Whether the workers of a leader here would lose their leases if it fell silent: they wait for an answer there, and
 * then once more at the next controller, which is silent already. Others should lead rather than this controller.
 */
export function wouldLoseWorkerLeases(
  next: PeerStatus | null,
  { now, peers, silenceS }: Omit<LeaderReachabilityView, 'leader'>,
): boolean {
  if (isReachable(next, now, silenceS)) return false;
  return peers.some((peer) => isReachable(peer, now, silenceS));
}
