/**
 * Connections of the simulated network. Each direction delivers its packets in order; what becomes of
 * a packet is decided by the rules in force when it is sent.
 */
import type { LinkEffect, LinkRules } from './link-rules.js';
import type { SimulatedHost } from './host.js';
import type { Incarnation } from './incarnation.js';
import type { SimulatedSocket, Transport } from './socket.js';
import type { World } from './world.js';

/** Bytes under way in one direction beyond which the sender has to wait. */
const SEND_BUFFER_BYTES = 256 * 1024;

/** What a connection needs of the network that it belongs to. */
export interface ConnectionNetwork {
  readonly world: World;
  readonly rules: LinkRules;
  /** Ends whose packets wait for the end of a rule. */
  readonly endsWithHeldPackets: Set<ConnectionEnd>;
  /** One-way delay of the next packet, in seconds. */
  drawLatencyS(): number;
  /** Drops a connection that both sides have closed. */
  removeIfClosed(connection: Connection): void;
}

/** What one side of a connection sends to the other. */
export type Packet =
  /** The answer to a connection attempt. */
  { kind: 'accept' } | { kind: 'data'; bytes: Buffer } | { kind: 'end' } | { kind: 'reset' };

/** A connection between two incarnations. */
export class Connection {
  readonly opener: ConnectionEnd;
  readonly acceptor: ConnectionEnd;
  /** Severed by a rule: nothing under way arrives any more. */
  severed = false;
  private effect: LinkEffect | null = null;
  private effectVersion = -1;

  constructor(
    private readonly network: ConnectionNetwork,
    opener: Incarnation,
    acceptor: Incarnation,
  ) {
    this.opener = new ConnectionEnd(network, this, opener);
    this.acceptor = new ConnectionEnd(network, this, acceptor);
  }

  get open(): boolean {
    return !this.severed && !(this.opener.closed && this.acceptor.closed);
  }

  /** What the rules do to this connection now. */
  currentEffect(): LinkEffect | null {
    const { rules } = this.network;
    if (this.effectVersion !== rules.version) {
      this.effectVersion = rules.version;
      this.effect = rules.effectOn(this.opener.host, this.acceptor.host);
    }
    return this.effect;
  }

  endOf(incarnation: Incarnation): ConnectionEnd | null {
    if (this.opener.incarnation === incarnation) return this.opener;
    return this.acceptor.incarnation === incarnation ? this.acceptor : null;
  }

  /** Both sides see a reset at once. */
  sever(): void {
    if (this.severed) return;
    this.severed = true;
    for (const end of [this.opener, this.acceptor]) {
      end.closed = true;
      this.network.world.schedule(0, () => {
        end.incarnation.deliver(() => end.socket?.failed('ECONNRESET'));
      });
    }
  }
}

/** One side of a connection and the direction from it to the other. */
export class ConnectionEnd implements Transport {
  /** Null at the acceptor until its program has taken the connection. */
  socket: SimulatedSocket | null = null;
  /** Its program has closed it or ended. */
  closed = false;
  /** A packet was lost: what follows can't be delivered either. */
  private broken = false;
  private endSent = false;
  private readonly heldPackets: Packet[] = [];
  private lastArrivalS = 0;
  private bytesInFlight = 0;
  private blockedWriteDone: (() => void) | null = null;

  constructor(
    private readonly network: ConnectionNetwork,
    readonly connection: Connection,
    readonly incarnation: Incarnation,
  ) {}

  get host(): SimulatedHost {
    return this.incarnation.host;
  }

  get otherEnd(): ConnectionEnd {
    const { opener, acceptor } = this.connection;
    return this === opener ? acceptor : opener;
  }

  send(bytes: Buffer, done: () => void): void {
    if (this.closed) return;
    this.bytesInFlight += bytes.length;
    this.transmit({ kind: 'data', bytes });
    if (this.bytesInFlight <= SEND_BUFFER_BYTES) done();
    else this.blockedWriteDone = done;
  }

  finish(): void {
    if (this.endSent || this.closed) return;
    this.endSent = true;
    this.transmit({ kind: 'end' });
  }

  close(): void {
    this.finish();
    this.closed = true;
    this.network.removeIfClosed(this.connection);
  }

  /** The program has ended: the other side is told by its host, or not at all. */
  abort(sendReset: boolean): void {
    if (this.closed) return;
    this.closed = true;
    if (sendReset) this.transmit({ kind: 'reset' });
    this.network.removeIfClosed(this.connection);
  }

  transmit(packet: Packet): void {
    if (this.broken || this.connection.severed) return;
    const effect = this.connection.currentEffect();
    if (this.isLost(effect, packet)) {
      this.broken = true;
    } else if (effect === 'hold' || this.heldPackets.length > 0) {
      this.heldPackets.push(packet);
      this.network.endsWithHeldPackets.add(this);
    } else this.scheduleArrival(packet);
  }

  /** The rules have changed: what was held is sent again, in order. */
  release(): void {
    for (const packet of this.heldPackets.splice(0)) this.transmit(packet);
  }

  private isLost(effect: LinkEffect | null, packet: Packet): boolean {
    if (!this.host.powered) return true;
    if (effect === 'drop' || effect === 'refuse') return true;
    const isAnswer = this === this.connection.acceptor && packet.kind !== 'accept';
    return effect === 'drop-answers' && isAnswer;
  }

  private scheduleArrival(packet: Packet): void {
    const { world } = this.network;
    const arrivalS = Math.max(this.lastArrivalS, world.now + this.network.drawLatencyS());
    this.lastArrivalS = arrivalS;
    world.schedule(arrivalS - world.now, () => {
      this.otherEnd.arrive(packet);
    });
  }

  private arrive(packet: Packet): void {
    const sender = this.otherEnd;
    if (this.connection.severed) return;
    if (!this.host.powered) {
      sender.broken = true;
      return;
    }
    if (packet.kind === 'data') {
      this.network.world.record(packet.bytes.length);
      sender.acknowledge(packet.bytes.length);
    }
    if (!this.closed)
      this.incarnation.deliver(() => {
        this.receive(packet);
      });
    else if (packet.kind === 'data') this.transmit({ kind: 'reset' });
  }

  private receive(packet: Packet): void {
    const { socket } = this;
    if (socket === null) return;
    if (packet.kind === 'accept') {
      if (socket.destroyed) this.close();
      else socket.connected(this);
    } else if (packet.kind === 'data') socket.received(packet.bytes);
    else if (packet.kind === 'end') socket.receivedEnd();
    else {
      this.closed = true;
      socket.failed('ECONNRESET');
      this.network.removeIfClosed(this.connection);
    }
  }

  private acknowledge(bytes: number): void {
    this.bytesInFlight -= bytes;
    const done = this.blockedWriteDone;
    if (done === null || this.bytesInFlight > SEND_BUFFER_BYTES) return;
    this.blockedWriteDone = null;
    this.incarnation.deliver(done);
  }
}
