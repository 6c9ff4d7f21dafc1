/**
 * Counts the operations of controllers: requests, peer frames, timers and connections. Tests of costs compare
 * these counts, because measured times differ between runs and depend on the speed of the machine.
 */
import type { IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import { FrameReader } from '#peer';
import type { Clock, HostPort, Network, Runtime } from '#wire';
import type { WorldEvent } from '../stand-ins/index.js';
import { watchRequests } from '../watch-requests.js';
import { isPeerAddress } from './addresses.js';

/** Operation counts of one controller since its host was created, over all incarnations. */
export interface Costs {
  /** Requests that the controller received, by category; `questions` are neither heartbeats nor probes. */
  heartbeats: number;
  questions: number;
  probes: number;
  /** Requests to the state service, the transactions among them, and the changes in these transactions. */
  stateRequests: number;
  transactions: number;
  changes: number;
  cloudRequests: number;
  /** Requests that the controller sends to workers directly, not in answers to heartbeats. */
  directCommands: number;
  /** Frames and bytes sent to peers on connections that the controller opened. */
  peerFrames: number;
  peerBytes: number;
  timers: number;
  /** Connection attempts of the controller. */
  connections: number;
}

/** Counts that are taken at the servers of outside systems. */
export type CountedServer = 'stateRequests' | 'cloudRequests' | 'directCommands';

const ZERO_COSTS: Costs = {
  heartbeats: 0,
  questions: 0,
  probes: 0,
  stateRequests: 0,
  transactions: 0,
  changes: 0,
  cloudRequests: 0,
  directCommands: 0,
  peerFrames: 0,
  peerBytes: 0,
  timers: 0,
  connections: 0,
};

/** Operation counts of the controllers of a cluster, by the address of their hosts. */
export class CostCounter {
  private readonly byHost = new Map<string, Costs>();

  /** Copies the current counts of the controller on this host. */
  costsOf(host: string): Costs {
    return { ...this.counts(host) };
  }

  /** Wraps the runtime of a controller so that its operations are counted. */
  watchController(host: string, runtime: Runtime): Runtime {
    const costs = this.counts(host);
    const watched = watchRequests(runtime, (req) => {
      costs[requestCategory(req)]++;
    });
    return {
      clock: countTimers(costs, watched.clock),
      network: countConnections(costs, watched.network),
      random: () => watched.random(),
    };
  }

  /** Wraps the runtime of an outside system so that requests from controllers to its servers are counted. */
  watchServer(cost: CountedServer, runtime: Runtime): Runtime {
    return watchRequests(runtime, (req) => {
      const costs = this.byHost.get(req.socket.remoteAddress ?? '');
      if (costs !== undefined) costs[cost]++;
    });
  }

  /** Counts the transactions that the state service reports, and their changes. */
  observe(event: WorldEvent): void {
    if (event.kind !== 'transaction') return;
    const costs = this.byHost.get(event.clientHost);
    if (costs === undefined) return;
    costs.transactions++;
    costs.changes += event.changes.length;
  }

  private counts(host: string): Costs {
    const known = this.byHost.get(host) ?? { ...ZERO_COSTS };
    this.byHost.set(host, known);
    return known;
  }
}

/** Subtracts each count of `before` from that of `after`. */
export function costsBetween(after: Costs, before: Costs): Costs {
  return mapCosts((name) => after[name] - before[name]);
}

/** Sums each count over all given costs. */
export function sumCosts(all: Costs[]): Costs {
  return mapCosts((name) => all.reduce((sum, costs) => sum + costs[name], 0));
}

/** Multiplies each count by the factor. */
export function scaleCosts(costs: Costs, factor: number): Costs {
  return mapCosts((name) => costs[name] * factor);
}

function mapCosts(value: (name: keyof Costs) => number): Costs {
  const names = Object.keys(ZERO_COSTS) as (keyof Costs)[];
  return Object.fromEntries(names.map((name) => [name, value(name)])) as unknown as Costs;
}

function countTimers(costs: Costs, clock: Clock): Clock {
  return {
    now: () => clock.now(),
    wallMs: () => clock.wallMs(),
    setTimer: (callback, delayMs) => {
      costs.timers++;
      return clock.setTimer(callback, delayMs);
    },
  };
}

function countConnections(costs: Costs, network: Network): Network {
  const connect = (address: HostPort): Duplex => {
    costs.connections++;
    const connection = network.connect(address);
    if (isPeerAddress(address)) countFrames(costs, connection);
    return connection;
  };
  return { connect, listen: (server, address) => network.listen(server, address) };
}

function requestCategory({ method, url }: IncomingMessage): 'heartbeats' | 'probes' | 'questions' {
  if (method === 'POST' && url === '/hello') return 'heartbeats';
  return url === '/healthz' ? 'probes' : 'questions';
}

/** Counts the bytes and frames that are written to a connection to a peer. */
function countFrames(costs: Costs, connection: Duplex): void {
  const reader = new FrameReader();
  const write = connection.write.bind(connection) as (...args: unknown[]) => boolean;
  connection.write = (chunk: Buffer, ...rest: unknown[]) => {
    costs.peerBytes += chunk.length;
    costs.peerFrames += [...reader.push(chunk)].length;
    return write(chunk, ...rest);
  };
}
