/** Servers on the network of a Runtime. */
import type net from 'node:net';
import type { Duplex } from 'node:stream';
import type { HostPort, Network } from './runtime.js';

/** An address could not be listened on; the cause is the network's own error. */
export class ListenError extends Error {
  override readonly name = 'ListenError';

  constructor(
    readonly address: HostPort,
    cause: unknown,
  ) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`cannot listen on ${address.host}:${address.port}: ${reason}`, { cause });
  }
}

/** A server on a network and the connections that it holds, so that both can be ended together. */
export class Listener {
  private readonly openConnections = new Set<Duplex>();

  constructor(
    private readonly network: Network,
    private readonly server: net.Server,
  ) {
    server.on('connection', (connection: Duplex) => {
      this.openConnections.add(connection);
      connection.once('close', () => this.openConnections.delete(connection));
    });
  }

  /** Connections that are open now. */
  get connections(): number {
    return this.openConnections.size;
  }

  /** Resolves once the server is reachable; rejects with ListenError. */
  async open(address: HostPort): Promise<void> {
    // One connection that cannot be accepted is no reason to stop serving the others.
    this.server.on('error', () => undefined);
    try {
      await this.network.listen(this.server, address);
    } catch (err) {
      throw new ListenError(address, err);
    }
  }

  /** Stops listening and ends all connections; resolves once they are gone. */
  async close(): Promise<void> {
    const closed = [
      new Promise<void>((resolve) => {
        this.server.close(() => {
          resolve();
        });
      }),
    ];
    for (const connection of this.openConnections) {
      closed.push(new Promise((resolve) => connection.once('close', resolve)));
      connection.destroy();
    }
    await Promise.all(closed);
  }
}
