import type net from 'node:net';
import { type Duplex, duplexPair } from 'node:stream';
import { type Clock, nodeRuntime, type Runtime, type Timer } from '#wire';

/** The Node.js runtime with counts of pending timers and open connections. */
export class CountingRuntime implements Runtime {
  timers = 0;
  connections = 0;
  /** Listening servers by port; each receives its connections as plain streams. */
  private readonly servers = new Map<number, net.Server>();

  readonly clock: Clock = {
    now: nodeRuntime.clock.now,
    wallMs: nodeRuntime.clock.wallMs,
    setTimer: (callback, delayMs) => this.countTimer(callback, delayMs),
  };

  readonly network: Runtime['network'] = {
    connect: (address) => {
      const server = this.servers.get(address.port);
      const connection = server ? connectStream(server) : nodeRuntime.network.connect(address);
      this.connections++;
      connection.once('close', () => this.connections--);
      return connection;
    },
    listen: async (server, { port }) => {
      if (this.servers.has(port)) throw new Error('address in use');
      this.servers.set(port, server);
      server.once('close', () => this.servers.delete(port));
    },
  };

  random(): number {
    return nodeRuntime.random();
  }

  get listeningServers(): number {
    return this.servers.size;
  }

  private countTimer(callback: () => void, delayMs: number): Timer {
    let pending = true;
    const settle = () => {
      if (pending) this.timers--;
      pending = false;
    };
    this.timers++;
    const timer = nodeRuntime.clock.setTimer(() => {
      settle();
      callback();
    }, delayMs);
    return {
      cancel: () => {
        settle();
        timer.cancel();
      },
    };
  }
}

/** Connects to a server as the simulated network does: with streams that lack the methods of a socket. */
function connectStream(server: net.Server): Duplex {
  const [clientSide, serverSide] = duplexPair();
  clientSide.once('close', () => serverSide.destroy());
  serverSide.once('close', () => clientSide.destroy());
  setImmediate(() => {
    server.emit('connection', serverSide);
    clientSide.emit('connect');
  });
  return clientSide;
}
