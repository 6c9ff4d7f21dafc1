/** What a process takes from the machine that it runs on, behind interfaces. */
import net from 'node:net';
import type { Duplex } from 'node:stream';

/**
 * The machine as one process sees it: time, randomness and connections. Production code
 * receives it instead of calling Node directly, so that several controllers can run inside one
 * process on a simulated clock and network (packages/testing).
 */
export interface Runtime {
  readonly clock: Clock;
  readonly network: Network;
  /** A number in [0, 1), as Math.random. */
  random(): number;
}

/** Time as one process sees it. */
export interface Clock {
  /** Steady time in seconds; its zero has no meaning and it never goes back. */
  now(): number;
  /** Time of day in milliseconds since 1970, as Date.now. */
  wallMs(): number;
  /** Calls back once after so many milliseconds, unless cancelled before. */
  setTimer(callback: () => void, delayMs: number): Timer;
}

/** A callback that is still to come. */
export interface Timer {
  cancel(): void;
}

/** TCP as one process sees it. */
export interface Network {
  /** Opens a connection; `connect`, `error` and `close` are emitted as by net.Socket. */
  connect(address: HostPort): Duplex;
  /**
   * Serves an http.Server or net.Server at the address until the server's `close` event; rejects if the
   * address cannot be had. Each connection is given to the server by its `connection` event.
   */
  listen(server: net.Server, address: HostPort): Promise<void>;
}

/** Where a server listens: an IPv4 address and a port. */
export interface HostPort {
  host: string;
  port: number;
}

/** Reads `10.0.0.1:8080`. */
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

/** The machine itself. */
export const nodeRuntime: Runtime = {
  clock: nodeClock,
  network: nodeNetwork,
  random: () => Math.random(),
};
