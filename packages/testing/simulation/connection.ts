/**
 * Connections of the simulated network. Each direction delivers its packets in order. The link rules in force when
 * a packet is sent decide whether the packet is delivered, held or dropped.
 */
import type { LinkEffect, LinkRules } from './link-rules.js';
import type { SimulatedHost } from './host.js';
import type { Incarnation } from './incarnation.js';
import type { SimulatedSocket, Transport } from './socket.js';
import type { World } from './world.js';

/** Bytes in flight in one direction above which the sender has to wait. */
const SEND_BUFFER_BYTES = 256 * 1024;

/** The part of the simulated network that connections use. */
export interface ConnectionNetwork {
  readonly world: World;
  readonly rules: LinkRules;
  /** Connection ends with packets that are held until a link rule is removed. */
  readonly endsWithHeldPackets: Set<ConnectionEnd>;
  /** Draws the one-way delay of the next packet, in seconds. */
  drawLatencyS(): number;
  /** Removes a connection from the network if it is severed or both sides have closed it. */
  removeIfClosed(connection: Connection): void;
}

/** A packet from one side of a connection to the other. */
export type Packet =
  /** Accepts a connection attempt. */
  { kind: 'accept' } | { kind: 'data'; bytes: Buffer } | { kind: 'end' } | { kind: 'reset' };

/** A connection between two incarnations of processes. */
export class Connection {
  readonly opener: ConnectionEnd;
  readonly acceptor: ConnectionEnd;
  /** Whether the network has reset the connection; packets in flight are then lost. */
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

  /** Effect of the current link rules on this connection, cached until the rules change. */
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

  /** Resets the connection: both sides see an ECONNRESET without latency. */
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

/** One side of a connection, with the packets that this side sends. */
export class ConnectionEnd implements Transport {
  /** Null on the accepting side until its server has received the connection. */
  socket: SimulatedSocket | null = null;
  /** Whether the program on this side has closed the connection or has ended, or the connection was reset. */
  closed = false;
  /** Whether a packet of this side was lost; later packets can't be delivered either. */
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

  /** Closes this side after its program has crashed; with `sendReset`, its host resets the connection. */
  closeAfterCrash(sendReset: boolean): void {
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

  /** Sends all held packets in order, under the rules now in force. */
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
