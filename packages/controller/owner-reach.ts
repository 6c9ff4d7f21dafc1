import type { PeerStatus } from './peer-status.js';

/** The owner of the part as another controller knows it; steady seconds. */
export interface OwnerReachView {
  now: number;
  /** The owner's latest statement; null if it was never heard. */
  owner: PeerStatus | null;
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
export function mayReachOwner({ now, owner, peers, silenceS }: OwnerReachView): boolean {
  if (owner === null) return true;
  const isHeard = (peer: PeerStatus | null) => peer !== null && now - peer.heardAt <= silenceS;
  if (isHeard(owner)) return !owner.frame.unheard;
  // Cut off from all peers, this controller can't tell whether the owner is silent for others too.
  return !peers.some(isHeard);
}
