/** How a controller recognises a peer that leads after the term it knows, or that soon will. */
import type { PeerStatus } from '../peers/peer-status.js';

/** A peer counts as served if that was later than our first failure by this share of `silenceS`. */
const SERVED_MARGIN_RATIO = 1 / 4;

/** What shows that somebody else leads or will campaign; times in steady seconds. */
export interface SuccessorView {
  now: number;
  term: number;
  failingSince: number;
}

/** The peer leads, has seen a newer leader, or will campaign: the state service serves it while we are refused. */
export function isSuccessor(
  view: SuccessorView,
  peer: PeerStatus | null,
  silenceS: number,
): boolean {
  if (peer === null) return false;
  if (peer.frame.newestLeader.term > view.term) return true;
  const reachable = view.now - peer.receivedAt <= silenceS;
  // Whether we have failed again since doesn't matter: a cut that swallows requests shows their
  // failure only when they time out.
  const servedSince = peer.lastServedAt > view.failingSince + silenceS * SERVED_MARGIN_RATIO;
  return reachable && servedSince && !peer.frame.refused;
}
