import type { Duplex } from 'node:stream';
import { MAX_SOCKETS } from '#wire';

/** Of what peers, state service and cloud leave; a machine's direct connection serves few commands. */
const SERVER_SHARE = 5 / 6;

/**
 * How a controller divides its sockets: so many for workers and users, so many for direct commands. Both
 * together, one connection for each of hundreds of machines, would not fit.
 */
export function socketShares(sockets: number, peers: number): { server: number; direct: number } {
  // Two connections with each peer, and as many that are being replaced; state service and cloud.
  const others = Math.min(sockets / 2, 4 * peers + 2 * MAX_SOCKETS);
  const server = Math.floor((sockets - others) * SERVER_SHARE);
  return { server, direct: Math.max(1, Math.floor(sockets - others) - server) };
}

/**
 * The connection on which each worker reports. One that was cut off and reports anew leaves its old
 * connection open here without a sign; the old ones of a whole zone would use up the sockets.
 */
export class WorkerConnections {
  private readonly connections = new Map<string, Duplex>();

  /** A worker's newest report came on this connection; copies of older ones must not be told here. */
  track(machine: string, socket: Duplex | null): void {
    const before = this.connections.get(machine);
    if (socket === null || before === socket) return;
    before?.destroy();
    this.connections.set(machine, socket);
    socket.once('close', () => {
      if (this.connections.get(machine) === socket) this.connections.delete(machine);
    });
  }
}
