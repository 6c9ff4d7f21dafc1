/** An agent that opens the connections of HTTP clients on the network of a Runtime. */
import http from 'node:http';
import net from 'node:net';
import type { Duplex } from 'node:stream';
import type { Network } from './runtime.js';

/** Socket methods that http.Agent calls on the connections in its pool, and that other streams do not have. */
const SOCKET_METHODS = ['ref', 'unref', 'setKeepAlive', 'setTimeout'] as const;

/** An http.Agent with keep-alive that opens its connections on the given network. */
export class NetworkAgent extends http.Agent {
  constructor(
    private readonly network: Network,
    maxSockets: number,
  ) {
    super({ keepAlive: true, maxSockets, scheduling: 'lifo' });
  }

  /** Called by http.Agent, which accepts a connection that is still being established. */
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

/** Adds the methods of SOCKET_METHODS, without any effect, to a stream that is not a socket. */
function addSocketMethods(stream: Duplex): void {
  const methods = stream as unknown as Record<string, unknown>;
  for (const name of SOCKET_METHODS) methods[name] ??= () => stream;
}
