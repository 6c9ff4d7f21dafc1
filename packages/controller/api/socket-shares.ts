/** How a controller divides the sockets that it may use. */
import { MAX_SOCKETS } from '#wire';

/** Share of the server in what peers, state service and cloud leave. */
const SERVER_CONNECTION_SHARE = 5 / 6;
/** Connections with each peer: one in each direction, and as many that are being replaced. */
const SOCKETS_PER_PEER = 4;
/** The state service and the cloud, each with a client of its own. */
const EXTERNAL_CLIENTS = 2;

/** Numbers of sockets by their use. */
export interface SocketShares {
  /** Connections of workers and users to the server. */
  serverConnections: number;
  /** Connections to workers for direct commands. */
  directConnections: number;
}

/**
 * Divides the sockets between the server and direct commands. One connection of each kind for every
 * machine would be too many; a direct connection serves few commands, so that it gets the smaller share.
 */
export function divideSockets(sockets: number, peers: number): SocketShares {
  const reserved = Math.min(sockets / 2, SOCKETS_PER_PEER * peers + EXTERNAL_CLIENTS * MAX_SOCKETS);
  const serverConnections = Math.floor((sockets - reserved) * SERVER_CONNECTION_SHARE);
  return {
    serverConnections,
    directConnections: Math.max(1, Math.floor(sockets - reserved) - serverConnections),
  };
}
