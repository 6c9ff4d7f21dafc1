/** Detects a peer that leads a newer term than the known one, or that may soon be elected. */
import type { PeerStatus } from '../peers/peer-status.js';

/**
 * A peer counts as served by the state service if it was served later than this controller's first failed request by
 * more than this share of `silenceS`.
 */
const SERVED_MARGIN_RATIO = 1 / 4;

/** Evidence that another controller leads or will campaign. Times are seconds of the monotonic clock. */
export interface SuccessorView {
  now: number;
  term: number;
  /** When the first request of this controller that has failed since its last success was sent. */
  failingSince: number;
}

/**
 * Whether the peer leads a newer term, knows of one, or will campaign. A peer will campaign if the state service
 * serves it while the requests of this controller fail.
 */
export function isSuccessor(
  view: SuccessorView,
  peer: PeerStatus | null,
  silenceS: number,
): boolean {
  if (peer === null) return false;
  if (peer.frame.newestLeader.term > view.term) return true;
  const reachable = view.now - peer.receivedAt <= silenceS;
  // Does not require that a request of this controller failed after the peer was served. If a network partition drops
  // requests silently, their failure shows only when they time out, so such a failure may be known too late.
  const servedSince = peer.lastServedAt > view.failingSince + silenceS * SERVED_MARGIN_RATIO;
  return reachable && servedSince && !peer.frame.refused;
}
