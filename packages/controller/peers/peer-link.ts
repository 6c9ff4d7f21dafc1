/** Makes the connections to the peers that the settings name. */
import { type Frame, PeerLink } from '#peer';
import { parseHostPort, type Runtime } from '#wire';
import type { Settings } from '../settings/settings.js';

/** Attempts to connect to a peer per heartbeat interval. */
const DIALS_PER_INTERVAL = 2;

/** Makes the connections to all peers; the frames of `greeting` are sent first on each new one. */
export function makePeerLink(
  runtime: Runtime,
  settings: Settings,
  greeting: () => Frame[],
): PeerLink {
  const { host_name, cluster_listen, peers, deployment } = settings;
  return new PeerLink({
    runtime,
    self: host_name,
    listen: parseHostPort(cluster_listen),
    peers: peers.map((peer) => ({ name: peer.host_name, addr: peer.peer_addr })),
    retryMs: (deployment.workers.report_s * 1000) / DIALS_PER_INTERVAL,
    greeting,
  });
}
