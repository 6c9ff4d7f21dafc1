/** The simulated network: hosts with one address each, listeners, connections and link rules. */
import type net from 'node:net';
import type { Duplex } from 'node:stream';
import type { HostPort, Network } from '#wire';
import type { SeededRandom } from '../random.js';
import { Connection, ConnectionEnd, type ConnectionNetwork } from './connection.js';
import type { SimulatedHost } from './host.js';
import { LinkRule, LinkRules } from './link-rules.js';
import type { Incarnation } from './incarnation.js';
import { SimulatedSocket } from './socket.js';
import type { World } from './world.js';

/** Delays before the retries of an unanswered connection attempt, in seconds. */
const CONNECT_RETRIES_S = [1, 2, 4, 8, 16, 32];

/** Distribution of the one-way delay between any two hosts. */
export interface LatencyModel {
  minMs: number;
  /** Mean of the exponentially distributed delay on top of `minMs`. */
  meanExtraMs: number;
  /** Fraction of packets that are lost once and retransmitted. */
  retransmittedShare: number;
  retransmitAfterMs: number;
}

const DEFAULT_LATENCY: LatencyModel = {
  minMs: 0.3,
  meanExtraMs: 0.4,
  retransmittedShare: 0.0005,
  retransmitAfterMs: 200,
};

/** A connection that is being opened. */
interface ConnectionAttempt {
  incarnation: Incarnation;
  socket: SimulatedSocket;
  to: HostPort;
  tries: number;
}

/** How other hosts notice that a process has crashed. */
export type CrashVisibility =
  /** The host of the process resets its connections. */
  | 'reset'
  /** Other hosts notice nothing until they send to the process again. */
  | 'silent';

/** A server at a port of a host. */
interface Listener {
  server: net.Server;
  incarnation: Incarnation;
  openConnections: number;
}

type ConnectError = 'ECONNREFUSED' | 'ETIMEDOUT' | 'EMFILE';

/** The network that connects all hosts of a simulated world. */
export class SimulatedNetwork implements ConnectionNetwork {
  readonly rules = new LinkRules();
  /** Connection ends with packets that are held until a link rule is removed. */
  readonly endsWithHeldPackets = new Set<ConnectionEnd>();
  private readonly hosts = new Map<string, SimulatedHost>();
  /** By host and port. */
  private readonly listeners = new Map<SimulatedHost, Map<number, Listener>>();
  private readonly connections = new Set<Connection>();
  private readonly heldAttempts = new Set<ConnectionAttempt>();
  private readonly chance: SeededRandom;

  constructor(
    readonly world: World,
    private readonly latency: LatencyModel = DEFAULT_LATENCY,
  ) {
    this.chance = world.randomStream('network');
  }

  addHost(host: SimulatedHost): SimulatedHost {
    this.hosts.set(host.address, host);
    return host;
  }

  allHosts(): SimulatedHost[] {
    return [...this.hosts.values()];
  }

  /** Applies a rule until the returned function is called. */
  apply(rule: LinkRule): () => void {
    this.rules.add(rule);
    if (rule.effect === 'refuse') this.reset(rule);
    return () => {
      this.rules.remove(rule);
      this.release();
    };
  }

  /** Resets the open connections that match a rule. */
  reset(rule: Pick<LinkRule, 'opener' | 'acceptor'>): void {
    for (const connection of [...this.connections]) {
      const { opener, acceptor } = connection;
      if (!rule.opener(opener.host) || !rule.acceptor(acceptor.host)) continue;
      connection.sever();
      this.connections.delete(connection);
    }
  }

  drawLatencyS(): number {
    const { minMs, meanExtraMs, retransmittedShare, retransmitAfterMs } = this.latency;
    const extraMs = -Math.log(1 - this.chance.next()) * meanExtraMs;
    const resentMs = this.chance.withProbability(retransmittedShare) ? retransmitAfterMs : 0;
    return (minMs + extraMs + resentMs) / 1000;
  }

  listen(incarnation: Incarnation, server: net.Server, port: number): Promise<void> {
    const listeners = this.listenersOf(incarnation.host);
    if (listeners.has(port)) {
      const error = new Error(`port ${port} is in use`);
      return Promise.reject(Object.assign(error, { code: 'EADDRINUSE' }));
    }
    const listener = { server, incarnation, openConnections: 0 };
    listeners.set(port, listener);
    server.once('close', () => {
      if (listeners.get(port) === listener) listeners.delete(port);
    });
    return Promise.resolve();
  }

  connect(incarnation: Incarnation, to: HostPort): SimulatedSocket {
    const socket = new SimulatedSocket(incarnation.runtime.clock, null, false, to.host);
    const attempt: ConnectionAttempt = { incarnation, socket, to, tries: 0 };
    const { host } = incarnation;
    if (!host.hasFreeSocket) this.fail(attempt, 'EMFILE');
    else
      this.world.scheduleInternal(this.drawLatencyS(), () => {
        this.tryToOpen(attempt);
      });
    host.countSocket(socket);
    return socket;
  }

  /** Closes the listeners and connections of an incarnation that has ended. */
  closeSocketsOf(incarnation: Incarnation, visibility: CrashVisibility): void {
    const { host } = incarnation;
    const listeners = this.listenersOf(host);
    host.openSockets = 0;
    for (const [port, listener] of listeners) {
      if (listener.incarnation === incarnation) listeners.delete(port);
    }
    for (const connection of [...this.connections]) {
      connection.endOf(incarnation)?.closeAfterCrash(visibility === 'reset');
    }
  }

  private listenersOf(host: SimulatedHost): Map<number, Listener> {
    let listeners = this.listeners.get(host);
    if (!listeners) this.listeners.set(host, (listeners = new Map<number, Listener>()));
    return listeners;
  }

  removeIfClosed(connection: Connection): void {
    if (!connection.open) this.connections.delete(connection);
  }

  private release(): void {
    const ends = [...this.endsWithHeldPackets];
    this.endsWithHeldPackets.clear();
    for (const end of ends) end.release();
    const attempts = [...this.heldAttempts];
    this.heldAttempts.clear();
    for (const attempt of attempts) this.tryToOpen(attempt);
  }

  private tryToOpen(attempt: ConnectionAttempt): void {
    const { incarnation, socket, to } = attempt;
    if (!incarnation.alive || socket.destroyed) return;
    const target = this.hosts.get(to.host);
    const effect = target ? this.rules.effectOn(incarnation.host, target) : null;
    if (target === undefined || !target.powered || !incarnation.host.powered || effect === 'drop') {
      this.scheduleRetry(attempt);
    } else if (effect === 'hold') this.heldAttempts.add(attempt);
    else {
      const listener = this.listenersOf(target).get(to.port);
      const refused = effect === 'refuse' || listener === undefined || !target.hasFreeSocket;
      if (refused) this.fail(attempt, 'ECONNREFUSED');
      else this.open(attempt, listener);
    }
  }

  private scheduleRetry(attempt: ConnectionAttempt): void {
    const delayS = CONNECT_RETRIES_S.at(attempt.tries++);
    if (delayS === undefined) this.fail(attempt, 'ETIMEDOUT');
    else
      this.world.scheduleInternal(delayS, () => {
        this.tryToOpen(attempt);
      });
  }

  private fail(attempt: ConnectionAttempt, code: ConnectError): void {
    this.world.schedule(this.drawLatencyS(), () => {
      attempt.incarnation.deliver(() => {
        attempt.socket.failed(code);
      });
    });
  }

  private open(attempt: ConnectionAttempt, listener: Listener): void {
    const connection = new Connection(this, attempt.incarnation, listener.incarnation);
    this.connections.add(connection);
    connection.opener.socket = attempt.socket;
    connection.acceptor.transmit({ kind: 'accept' });
    const { maxConnections } = listener.server;
    if (maxConnections > 0 && listener.openConnections >= maxConnections) {
      connection.acceptor.close();
      return;
    }
    listener.openConnections++;
    this.world.schedule(0, () => {
      listener.incarnation.deliver(() => {
        accept(connection, listener);
      });
    });
  }
}

/** Passes an accepted connection to the server. */
function accept(connection: Connection, listener: Listener): void {
  const { opener, acceptor } = connection;
  const { clock } = acceptor.incarnation.runtime;
  const { allowHalfOpen } = listener.server as net.Server & { allowHalfOpen?: boolean };
  const socket = new SimulatedSocket(clock, acceptor, allowHalfOpen === true, opener.host.address);
  acceptor.socket = socket;
  acceptor.host.countSocket(socket);
  socket.once('close', () => listener.openConnections--);
  listener.server.emit('connection', socket);
}

/** Network of one incarnation of a process. Once it has ended, no connection opens and no server listens. */
export class IncarnationNetwork implements Network {
  constructor(
    private readonly network: SimulatedNetwork,
    private readonly incarnation: Incarnation,
  ) {}

  connect(address: HostPort): Duplex {
    return this.network.connect(this.incarnation, address);
  }

  listen(server: net.Server, address: HostPort): Promise<void> {
    if (!this.incarnation.alive) return new Promise(() => undefined);
    return this.network.listen(this.incarnation, server, address.port);
  }
}
