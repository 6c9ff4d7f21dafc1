/** The connections on which workers send their heartbeats. */
import type { Duplex } from 'node:stream';

/**
 * Keeps one connection for each worker. A worker that was cut off and connects again leaves its old
 * connection half-open here without a sign; those of a whole zone would use up the sockets.
 */
export class WorkerConnections {
  private readonly connections = new Map<string, Duplex>();

  /**
   * Records the connection of a worker's newest heartbeat and closes the one before. To be called for
   * newest heartbeats only: a late copy would close the connection in use.
   */
  track(machine: string, socket: Duplex | null): void {
    const previous = this.connections.get(machine);
    if (socket === null || previous === socket) return;
    previous?.destroy();
    this.connections.set(machine, socket);
    socket.once('close', () => {
      if (this.connections.get(machine) === socket) this.connections.delete(machine);
    });
  }
}
