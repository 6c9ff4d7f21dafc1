/** The connections on which workers send their heartbeats. */
import type { Duplex } from 'node:stream';

/**
 * Keeps one connection for each worker. A worker that connects again after a network partition may leave its
 * old connection half-open without an error; the old connections of a whole zone would use up the sockets.
 */
export class WorkerConnections {
  private readonly connections = new Map<string, Duplex>();

  /**
   * Records the connection of a worker's newest heartbeat and closes the worker's previous connection. Must
   * not be called for a delayed duplicate of a heartbeat, which would close the connection in use.
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
