/** A controller node behind the load balancer: its health probes and its open connections. */
import type { Duplex } from 'node:stream';
import { CborClient, NoAnswer, parseHostPort, sleep, type HostPort, type Runtime } from '#wire';
import { NodeHealth } from './node-health.js';

const PROBE_PERIOD_S = 1;
const PROBE_TIMEOUT_MS = 1000;
const ACCEPT_TIMEOUT_MS = 500;
/** Seconds after which the open connections to an unhealthy node are reset. */
const RESET_AFTER_S = 5;

/** Probes one node and opens connections to it. */
export class Backend {
  readonly health: NodeHealth;
  private readonly address: HostPort;
  private readonly probes: CborClient;
  private readonly connections = new Set<Duplex>();
  private stopped = false;

  constructor(
    private readonly runtime: Runtime,
    address: string,
  ) {
    this.address = parseHostPort(address);
    this.health = new NodeHealth(runtime.clock);
    this.probes = new CborClient(runtime, address, 1);
  }

  /** Open connections in relation to the share of the node. The node with the least load gets the next connection. */
  get load(): number {
    return (this.connections.size + 1) / this.health.share;
  }

  /** Probes the node until `stop` is called. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const startedAt = this.runtime.clock.now();
      this.recordProbe(await this.probe());
      const leftS = startedAt + PROBE_PERIOD_S - this.runtime.clock.now();
      await sleep(this.runtime.clock, Math.max(0, leftS) * 1000);
    }
  }

  stop(): void {
    this.stopped = true;
    this.probes.close();
    this.reset();
  }

  /** Opens a connection to the node; null if the node refuses it or does not accept it in time. */
  async connect(): Promise<Duplex | null> {
    const connection = await this.open();
    this.health.recordConnection(connection !== null);
    if (connection === null) return null;
    this.connections.add(connection);
    connection.once('close', () => this.connections.delete(connection));
    return connection;
  }

  private open(): Promise<Duplex | null> {
    return new Promise((resolve) => {
      const connection = this.runtime.network.connect(this.address);
      const fail = () => {
        timer.cancel();
        connection.destroy();
        resolve(null);
      };
      const timer = this.runtime.clock.setTimer(fail, ACCEPT_TIMEOUT_MS);
      connection.once('error', fail);
      connection.once('connect', () => {
        timer.cancel();
        connection.off('error', fail);
        resolve(connection);
      });
    });
  }

  private async probe(): Promise<boolean> {
    try {
      const { status } = await this.probes.call('GET', '/healthz', { timeoutMs: PROBE_TIMEOUT_MS });
      return status === 200;
    } catch (err) {
      if (err instanceof NoAnswer) return false;
      throw err;
    }
  }

  private recordProbe(success: boolean): void {
    const becameUnhealthy = this.health.recordProbe(success);
    if (!becameUnhealthy) return;
    this.runtime.clock.setTimer(() => {
      this.resetIfUnhealthy();
    }, RESET_AFTER_S * 1000);
  }

  private resetIfUnhealthy(): void {
    if (!this.health.isHealthy) this.reset();
  }

  private reset(): void {
    for (const connection of this.connections) connection.destroy();
  }
}
