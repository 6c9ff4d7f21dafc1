import http from 'node:http';
import type net from 'node:net';
import type { HostPort, Network, Runtime } from '#wire';

/** Counts the requests that servers get, by the port at which they listen. */
export class RequestCounter {
  private readonly counts = new Map<number, number>();

  /** A runtime whose HTTP servers are counted. */
  watch(runtime: Runtime): Runtime {
    const network: Network = {
      connect: (address: HostPort) => runtime.network.connect(address),
      listen: (server: net.Server, address: HostPort) => {
        if (server instanceof http.Server) server.on('request', () => this.note(address.port));
        return runtime.network.listen(server, address);
      },
    };
    return { clock: runtime.clock, network, random: () => runtime.random() };
  }

  /** Requests at the port so far. */
  count(port: number): number {
    return this.counts.get(port) ?? 0;
  }

  private note(port: number): void {
    this.counts.set(port, this.count(port) + 1);
  }
}
