/** Whether users should be sent to this controller. */
import { isReachable, type PeerStatus } from '../peers/peer-status.js';

/** How the state service serves this controller, and what its peers state; steady seconds. */
export interface HealthInputs {
  now: number;
  /** The jobs and the machine types are known. */
  isLoaded: boolean;
  /** The state service did not serve the newest request whose outcome is known. */
  isRefused: boolean;
  /** When the newest request was sent that the state service served. */
  lastSuccessAt: number;
  /** When the newest request was sent that the state service did not serve. */
  lastFailureAt: number;
  /** The latest statement of each other controller; null if none has arrived. */
  peers: (PeerStatus | null)[];
  /** For how long a refusal, or a peer's silence, may last before it counts. */
  toleranceS: number;
}

/**
 * Whether users should be sent here: not before the records are loaded, and not while the state service
 * refuses this controller but may serve others. In an outage for all controllers everybody stays
 * healthy, since no other could answer better.
 */
export function isHealthy(inputs: HealthInputs): boolean {
  const { now, lastSuccessAt, toleranceS } = inputs;
  if (!inputs.isLoaded) return false;
  if (!inputs.isRefused || inputs.lastFailureAt - lastSuccessAt < toleranceS) return true;
  const reachable = inputs.peers.filter((peer) => isReachable(peer, now, toleranceS));
  // Cut off from the peers as well, this controller can't know whether they are served.
  if (reachable.length === 0) return inputs.peers.length === 0;
  return !reachable.some(
    (peer) => !peer.frame.refused && peer.lastServedAt > lastSuccessAt + toleranceS,
  );
}
