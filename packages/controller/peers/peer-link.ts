import { type Frame, PeerLink } from '#peer';
import { parseHostPort, type Runtime } from '#wire';
import type { Settings } from '../settings/settings.js';

/** Attempts to reach a peer in a report period. */
const DIALS = 2;

/** The connections to the peers of the settings; the greeting is what each new connection begins with. */
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
    retryMs: (deployment.workers.report_s * 1000) / DIALS,
    greeting,
  });
}
