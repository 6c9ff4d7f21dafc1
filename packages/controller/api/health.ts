/** Decides whether the load balancer should send users to this controller. */
import { isReachable, type PeerStatus } from '../peers/peer-status.js';

/** Inputs of the health check. Times are in seconds of the monotonic clock. */
export interface HealthInputs {
  now: number;
  /** Whether the jobs and the machine types are loaded. */
  isLoaded: boolean;
  /** Whether the state service failed to serve the newest request whose outcome is known. */
  isServiceFailing: boolean;
  /** Sending time of the newest request that the state service served. */
  lastSuccessAt: number;
  /** Sending time of the newest request that the state service did not serve. */
  lastFailureAt: number;
  /** The latest status of each other controller; null if none has arrived. */
  peers: (PeerStatus | null)[];
  /** Seconds for which a failure of the state service or the silence of a peer is tolerated. */
  toleranceS: number;
}

/**
 * Whether the load balancer should send users to this controller. The controller is unhealthy until its
 * records are loaded, and while the state service fails for it but may serve others. In an outage that
 * affects all controllers, all stay healthy, since no other controller could answer better.
 */
export function isHealthy(inputs: HealthInputs): boolean {
  const { now, lastSuccessAt, toleranceS } = inputs;
  if (!inputs.isLoaded) return false;
  if (!inputs.isServiceFailing || inputs.lastFailureAt - lastSuccessAt < toleranceS) return true;
  const reachable = inputs.peers.filter((peer) => isReachable(peer, now, toleranceS));
  // Without a reachable peer this controller can't know whether the state service serves its peers.
  if (reachable.length === 0) return inputs.peers.length === 0;
  return !reachable.some(
    (peer) => !peer.frame.refused && peer.lastServedAt > lastSuccessAt + toleranceS,
  );
}
