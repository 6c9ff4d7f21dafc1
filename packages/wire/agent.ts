import http from 'node:http';
import net from 'node:net';
import type { Duplex } from 'node:stream';
import type { Network } from './runtime.js';

/** What http.Agent calls on a connection that it keeps, beyond what every stream has. */
const SOCKET_METHODS = ['ref', 'unref', 'setKeepAlive', 'setTimeout'] as const;

/** Keeps connections as http.Agent does, but takes them from the given network. */
export class NetworkAgent extends http.Agent {
  constructor(
    private readonly network: Network,
    maxSockets: number,
  ) {
    super({ keepAlive: true, maxSockets, scheduling: 'lifo' });
  }

  override createConnection(options: {
    host: string;
    port: number;
    keepAliveInitialDelay?: number;
  }): Duplex {
    const connection = this.network.connect({ host: options.host, port: options.port });
    if (connection instanceof net.Socket) {
      const probeMs = options.keepAliveInitialDelay;
      connection.once('connect', () => connection.setKeepAlive(true, probeMs));
    } else standInForSocket(connection);
    return connection;
  }
}

function standInForSocket(stream: Duplex): void {
  const methods = stream as unknown as Record<string, unknown>;
  for (const name of SOCKET_METHODS) methods[name] ??= () => stream;
}
