/** Divides the sockets that a controller may use among their purposes. */
import { DEFAULT_MAX_SOCKETS } from '#wire';

/** The HTTP server's share of the sockets that remain after those for peers, state service and cloud. */
const SERVER_CONNECTION_SHARE = 5 / 6;
/** Connections per peer: one in each direction, and as many old ones that are still being replaced. */
const SOCKETS_PER_PEER = 4;
/** Number of clients for external services: one for the state service and one for the cloud. */
const EXTERNAL_CLIENTS = 2;

/** Numbers of sockets by purpose. */
export interface SocketShares {
  /** Connections of workers and users to the HTTP server. */
  serverConnections: number;
  /** Connections to workers for direct commands. */
  directConnections: number;
}

/**
 * Divides the sockets between the HTTP server and direct commands to workers. There are not enough sockets
 * for one connection of each kind per machine. Direct connections carry few commands, so they get the
 * smaller share.
 */
export function divideSockets(sockets: number, peers: number): SocketShares {
  const reserved = Math.min(
    sockets / 2,
    SOCKETS_PER_PEER * peers + EXTERNAL_CLIENTS * DEFAULT_MAX_SOCKETS,
  );
  const serverConnections = Math.floor((sockets - reserved) * SERVER_CONNECTION_SHARE);
  return {
    serverConnections,
    directConnections: Math.max(1, Math.floor(sockets - reserved) - serverConnections),
  };
}
