/** Interfaces to the clock, the randomness and the network of the machine that a process runs on. */
import net from 'node:net';
import type { Duplex } from 'node:stream';

/**
 * The clock, the randomness and the network of one process. Production code receives a Runtime instead of calling
 * Node directly, so that tests can run several controllers in one process on a simulated clock and network
 * (packages/testing).
 */
export interface Runtime {
  readonly clock: Clock;
  readonly network: Network;
  /** A random number in [0, 1), as from Math.random. */
  random(): number;
}

/** The clock of one process. */
export interface Clock {
  /** Seconds of the monotonic clock, which never goes back and starts at an arbitrary value. */
  now(): number;
  /** Time of day in milliseconds since 1970, as from Date.now. */
  wallMs(): number;
  /** Calls `callback` once after a delay, unless the timer is cancelled first. */
  setTimer(callback: () => void, delayMs: number): Timer;
}

/** A scheduled callback. */
export interface Timer {
  cancel(): void;
}

/** The TCP network of one process. */
export interface Network {
  /** Opens a connection, which emits `connect`, `error` and `close` as net.Socket does. */
  connect(address: HostPort): Duplex;
  /**
   * Makes an http.Server or net.Server reachable at the address until the server's `close` event; rejects if the
   * address is not available. Each new connection is emitted on the server as a `connection` event.
   */
  listen(server: net.Server, address: HostPort): Promise<void>;
}

/** The IPv4 address and port of a server. */
export interface HostPort {
  host: string;
  port: number;
}

/** Parses an address such as `10.0.0.1:8080`. */
export function parseHostPort(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

const MS_PER_S = 1000;

const nodeClock: Clock = {
  now: () => performance.now() / MS_PER_S,
  wallMs: () => Date.now(),
  setTimer(callback, delayMs) {
    const handle = setTimeout(callback, delayMs);
    return {
      cancel: () => {
        clearTimeout(handle);
      },
    };
  },
};

const nodeNetwork: Network = {
  connect: ({ host, port }) => net.connect({ host, port, noDelay: true }),
  listen: (server, { host, port }) =>
    new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        server.off('error', reject);
        resolve();
      });
    }),
};

/** The Runtime of a real process, implemented by Node. */
export const nodeRuntime: Runtime = {
  clock: nodeClock,
  network: nodeNetwork,
  random: () => Math.random(),
};
