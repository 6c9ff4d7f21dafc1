import type { PeerStatus } from '../peers/peer-status.js';

/** How this controller is served, and what its peers say; steady seconds. */
export interface HealthView {
  now: number;
  /** The jobs and the machine types are known. */
  loaded: boolean;
  /** The newest request to the state service whose outcome is known was not served. */
  refused: boolean;
  /** When the newest requests were sent that the state service served, and did not. */
  lastOkAt: number;
  lastFailAt: number;
  /** The latest statement of each other controller; null if it was never heard. */
  peers: (PeerStatus | null)[];
  /** For how long a refusal, or a peer's silence, may last before it counts. */
  patienceS: number;
}

/**
 * Whether users should be sent here: not before the records are loaded, and not while the state service
 * refuses this controller but may serve others. In an outage for all controllers everybody stays
 * healthy, since no other could answer better.
 */
export function isHealthy(view: HealthView): boolean {
  const { now, lastOkAt, patienceS } = view;
  if (!view.loaded) return false;
  if (!view.refused || view.lastFailAt - lastOkAt < patienceS) return true;
  const reachable = view.peers.filter(
    (peer) => peer !== null && now - peer.receivedAt <= patienceS,
  );
  // Cut off from the peers as well, this controller can't know whether they are served.
  if (reachable.length === 0) return view.peers.length === 0;
  return !reachable.some((peer) => !peer!.frame.refused && peer!.servedAt > lastOkAt + patienceS);
}
