/** Connections of HTTP clients on the network of a Runtime. */
import http from 'node:http';
import net from 'node:net';
import type { Duplex } from 'node:stream';
import type { Network } from './runtime.js';

/** Methods of a socket that http.Agent calls on a connection that it keeps, and that other streams lack. */
const SOCKET_METHODS = ['ref', 'unref', 'setKeepAlive', 'setTimeout'] as const;

/** Keeps connections as http.Agent does, but takes them from the given network. */
export class NetworkAgent extends http.Agent {
  constructor(
    private readonly network: Network,
    maxSockets: number,
  ) {
    super({ keepAlive: true, maxSockets, scheduling: 'lifo' });
  }

  /** Called by http.Agent; the connection may still be opening. */
  override createConnection(options: {
    host: string;
    port: number;
    keepAliveInitialDelay?: number;
  }): Duplex {
    const connection = this.network.connect({ host: options.host, port: options.port });
    if (connection instanceof net.Socket) {
      const keepAliveDelayMs = options.keepAliveInitialDelay;
      connection.once('connect', () => connection.setKeepAlive(true, keepAliveDelayMs));
    } else addSocketMethods(connection);
    return connection;
  }
}

/** Adds those methods, without effect, to a stream that is no socket. */
function addSocketMethods(stream: Duplex): void {
  const methods = stream as unknown as Record<string, unknown>;
  for (const name of SOCKET_METHODS) methods[name] ??= () => stream;
}
