/** How a controller divides the sockets that it may use. */
import { MAX_SOCKETS } from '#wire';

/** Share of the server in what peers, state service and cloud leave. */
const SERVER_SHARE = 5 / 6;
/** Connections with each peer: one in each direction, and as many that are being replaced. */
const SOCKETS_PER_PEER = 4;
/** The state service and the cloud, each with a client of its own. */
const OUTSIDE_CLIENTS = 2;

/** Numbers of sockets by their use. */
export interface SocketShares {
  /** Connections of workers and users to the server. */
  server: number;
  /** Connections to workers for direct commands. */
  direct: number;
}

/**
 * Divides the sockets between the server and direct commands. One connection of each kind for every
 * machine would be too many; a direct connection serves few commands, so that it gets the smaller share.
 */
export function socketShares(sockets: number, peers: number): SocketShares {
  const others = Math.min(sockets / 2, SOCKETS_PER_PEER * peers + OUTSIDE_CLIENTS * MAX_SOCKETS);
  const server = Math.floor((sockets - others) * SERVER_SHARE);
  return { server, direct: Math.max(1, Math.floor(sockets - others) - server) };
}
