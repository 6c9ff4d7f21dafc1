import type { PeerStatus } from '../peers/peer-status.js';

/** Whether a controller is heard now; steady seconds. */
function isReachable(peer: PeerStatus | null, now: number, silenceS: number): boolean {
  return peer !== null && now - peer.receivedAt <= silenceS;
}

/** The owner of the part as another controller knows it; steady seconds. */
export interface LeaderReachView {
  now: number;
  /** The owner's latest statement; null if it was never heard. */
  leader: PeerStatus | null;
  /** The latest statement of each other controller; null if it was never heard. */
  peers: (PeerStatus | null)[];
  /** A controller that was not heard for this long is out of reach. */
  silenceS: number;
}

/**
 * Whether a worker that asks for the owner should be sent to it. A worker waits for several seconds for an
 * answer from an owner that is silent or cut off, which may be the rest of its lease; elsewhere it soon finds
 * the next owner.
 */
export function mayReachLeader({ now, leader, peers, silenceS }: LeaderReachView): boolean {
  if (leader === null) return true;
  if (isReachable(leader, now, silenceS)) return !leader.frame.unreachable;
  // Cut off from all peers, this controller can't tell whether the owner is silent for others too.
  return !peers.some((peer) => isReachable(peer, now, silenceS));
}

/**
 * The controller that workers try after this one, when it does not answer them; null if it has no peers. Workers
 * are taken to know the controllers in the order of their names' numbers, which the protocol does not promise.
 */
export function nextForWorkers(self: string, peers: readonly string[]): string | null {
  if (peers.length === 0) return null;
  const names = [self, ...peers].sort(inNumberedOrder);
  return names[(names.indexOf(self) + 1) % names.length];
}

/** Shorter names first, so that `c-10` comes after `c-9`. */
function inNumberedOrder(one: string, other: string): number {
  return one.length - other.length || (one < other ? -1 : 1);
}

/**
 * Whether the workers of an owner would lose their leases if it fell silent: they wait for an answer there, and then
 * once more at the next controller, which is silent already. Others should own rather than this controller.
 */
export function leavesWorkersStranded(
  next: PeerStatus | null,
  { now, peers, silenceS }: Omit<LeaderReachView, 'leader'>,
): boolean {
  if (isReachable(next, now, silenceS)) return false;
  return peers.some((peer) => isReachable(peer, now, silenceS));
}
