/**
 * Counts what controllers cost their surroundings, whatever the speed of the machine: requests, frames, timers
 * and the like. Tests of costs compare these counts, since times are never the same twice.
 */
import type { IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import { FrameReader } from '#peer';
import type { Clock, HostPort, Network, Runtime } from '#wire';
import type { WorldEvent } from '../stand-ins/index.js';
import { watchRequests } from '../watch-requests.js';
import { isPeerAddress } from './addresses.js';

/** What one controller did; counts since the start of its host. */
export interface Costs {
  /** Requests that it answered. */
  heartbeats: number;
  questions: number;
  probes: number;
  /** Requests to the state service, transactions and the changes in them among these. */
  stateRequests: number;
  transactions: number;
  changes: number;
  cloudRequests: number;
  /** Commands and questions to workers, outside the answers to their heartbeats. */
  directCommands: number;
  /** Frames to its peers, and their bytes. */
  peerFrames: number;
  peerBytes: number;
  timers: number;
  /** Connections that it began to open. */
  connections: number;
}

/** Outside systems whose servers count what controllers ask of them. */
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

/** What controllers of a cluster have cost so far, by the address of their hosts. */
export class CostCounter {
  private readonly byHost = new Map<string, Costs>();

  /** A copy of the counts of the controller at that host. */
  costsOf(host: string): Costs {
    return { ...this.counts(host) };
  }

  /** The runtime of a controller whose use of it is counted. */
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

  /** The runtime of an outside system whose servers count the requests of controllers. */
  watchServer(cost: CountedServer, runtime: Runtime): Runtime {
    return watchRequests(runtime, (req) => {
      const costs = this.byHost.get(req.socket.remoteAddress ?? '');
      if (costs !== undefined) costs[cost]++;
    });
  }

  /** Counts the transactions of the state service. */
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

/** Each count of the first less that of the second. */
export function costsBetween(after: Costs, before: Costs): Costs {
  return mapCosts((name) => after[name] - before[name]);
}

/** The sum of each count. */
export function sumCosts(all: Costs[]): Costs {
  return mapCosts((name) => all.reduce((sum, costs) => sum + costs[name], 0));
}

/** Each count times the factor. */
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

/** Counts what is written to a connection with a peer. */
function countFrames(costs: Costs, connection: Duplex): void {
  const reader = new FrameReader();
  const write = connection.write.bind(connection) as (...args: unknown[]) => boolean;
  connection.write = (chunk: Buffer, ...rest: unknown[]) => {
    costs.peerBytes += chunk.length;
    costs.peerFrames += [...reader.push(chunk)].length;
    return write(chunk, ...rest);
  };
}
