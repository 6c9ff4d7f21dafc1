/** The load balancer between users and controllers. It balances TCP connections, not requests. */
import net, { type AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { Listener, type HostPort, type Runtime } from '#wire';
import type { ControllerAddress } from '../worker/index.js';
import { Backend } from './backend.js';

/** Maximum number of nodes that are tried for one connection. */
const MAX_TRIES = 3;

/** Forwards the connections of users to healthy nodes, the least loaded first. */
export class LoadBalancer {
  private readonly backends: Backend[];
  private listener: Listener | null = null;

  constructor(
    private readonly runtime: Runtime,
    controllers: ControllerAddress[],
  ) {
    this.backends = controllers.map(({ address }) => new Backend(runtime, address));
  }

  /** Starts to accept connections of users. Resolves with the address that is bound. */
  async listen(address: HostPort): Promise<HostPort> {
    const server = net.createServer((client) => void this.accept(client));
    this.listener = new Listener(this.runtime.network, server);
    await this.listener.open(address);
    for (const backend of this.backends) void backend.run();
    const bound = server.address() as AddressInfo | null;
    return { host: address.host, port: bound?.port ?? address.port };
  }

  close(): void {
    void this.listener?.close();
    for (const backend of this.backends) backend.stop();
  }

  /** Whether each node is healthy, in the order of the controllers given to the constructor. */
  health(): boolean[] {
    return this.backends.map((backend) => backend.health.isHealthy);
  }

  private async accept(client: Duplex): Promise<void> {
    client.on('error', () => client.destroy());
    const tried = new Set<Backend>();
    while (tried.size < MAX_TRIES && !client.destroyed) {
      const backend = this.pick(tried);
      if (backend === null) break;
      tried.add(backend);
      const upstream = await backend.connect();
      if (upstream !== null) {
        pipeBothWays(client, upstream);
        return;
      }
    }
    client.destroy();
  }

  /** Chooses the eligible node with the least load for its share, at random among equals. */
  private pick(tried: Set<Backend>): Backend | null {
    const eligible = this.backends
      .filter((backend) => backend.health.isEligible && !tried.has(backend))
      // The load is read once per node, because the share of a node changes over time.
      .map((backend) => ({ backend, load: backend.load }));
    if (eligible.length === 0) return null;
    const leastLoad = Math.min(...eligible.map(({ load }) => load));
    const best = eligible.filter(({ load }) => load === leastLoad);
    return best[Math.floor(this.runtime.random() * best.length)].backend;
  }
}

/** Forwards bytes in both directions. When one side closes, the other is closed too. */
function pipeBothWays(client: Duplex, upstream: Duplex): void {
  upstream.on('error', () => upstream.destroy());
  client.once('close', () => upstream.destroy());
  // `end` flushes what the node sent before it closed.
  upstream.once('close', () => client.end(() => client.destroy()));
  client.pipe(upstream);
  upstream.pipe(client);
}
