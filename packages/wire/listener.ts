/** Servers that listen on the network of a Runtime. */
import type net from 'node:net';
import type { Duplex } from 'node:stream';
import type { HostPort, Network } from './runtime.js';

/** A server could not listen on an address; the `cause` is the error of the network. */
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

/** A server and its open connections, which can be closed together. */
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

  /** Number of open connections. */
  get connections(): number {
    return this.openConnections.size;
  }

  /** Resolves once the server is reachable; rejects with ListenError. */
  async open(address: HostPort): Promise<void> {
    // A connection that cannot be accepted must not end the process, as an `error` event without a handler would.
    this.server.on('error', () => undefined);
    try {
      await this.network.listen(this.server, address);
    } catch (err) {
      throw new ListenError(address, err);
    }
  }

  /** Stops listening and closes all connections; resolves once all are closed. */
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
