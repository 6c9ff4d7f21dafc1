import net from 'node:net';
import type { Duplex } from 'node:stream';
import { Subject } from 'rxjs';
import { aborted, every, HostPort, Listener, parseHostPort, pause, Runtime, Timer } from '#wire';
import { BadFrame } from './buffers.js';
import { encodeFrame, Frame, FrameReader } from './frames.js';

export interface PeerAddress {
  name: string;
  addr: string;
}

export interface PeerLinkOptions {
  runtime: Runtime;
  /** This controller's name. */
  self: string;
  listen: HostPort;
  peers: PeerAddress[];
  /** Time between two attempts to reach a peer, give or take a half. */
  retryMs: number;
  /** What a peer is told on each new connection, since it may have missed it. */
  greeting?: () => Frame[];
}

/** Bytes that may wait for a slow peer before frames to it are dropped. */
const MAX_BACKLOG = 1 << 20;
/** Retry periods within which a connection must be open. */
const DIAL_PERIODS = 4;
/** Retry periods without a word from a peer after which its connection is given up. */
const SILENCES = 16;
/** Connections that are taken for each controller: the present one and those that it replaces. */
const CONNECTIONS_PER_PEER = 4;

/**
 * Every controller dials every other and speaks on its own connection; what it hears comes on the
 * connections that the others dialled. Frames are advice: nothing durable depends on one arriving.
 */
export class PeerLink {
  readonly heard = new Subject<{ from: string; frame: Frame }>();
  /** The open connections that we dialled, and since when each is open; steady seconds. */
  private readonly out = new Map<string, { connection: Duplex; openedAt: number }>();
  /** The newest connection that each peer has dialled, by the order in which they were accepted. */
  private readonly incoming = new Map<string, { connection: Duplex; order: number }>();
  private accepted = 0;
  /** When each peer was last heard; steady seconds. */
  private readonly lastHeard = new Map<string, number>();
  private readonly listener: Listener;

  constructor(private readonly options: PeerLinkOptions) {
    const server = net.createServer((connection) => this.receive(connection));
    server.maxConnections = CONNECTIONS_PER_PEER * (options.peers.length + 1);
    this.listener = new Listener(options.runtime.network, server);
  }

  /** Links until the signal aborts, then ends all connections; rejects with ListenError. */
  async run(signal: AbortSignal): Promise<void> {
    await this.listener.open(this.options.listen);
    await Promise.all(this.options.peers.map((peer) => this.keepDialling(peer, signal)));
    await aborted(signal);
    await this.listener.close();
  }

  /** Tells all peers that are reachable. */
  send(frame: Frame): void {
    const bytes = encodeFrame(frame);
    for (const { connection } of this.out.values()) write(connection, bytes);
  }

  sendTo(peer: string, frame: Frame): void {
    const connection = this.out.get(peer)?.connection;
    if (connection) write(connection, encodeFrame(frame));
  }

  /**
   * Dials a peer anew that speaks to us but has read nothing of ours for so long. A cut may have swallowed the
   * sign that it gave our connection up or began a new life; a younger connection may only be slow.
   */
  dialAnew(peer: string, unreadS: number): void {
    const open = this.out.get(peer);
    if (open && this.options.runtime.clock.now() - open.openedAt > unreadS)
      open.connection.destroy();
  }

  private async keepDialling(peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const { runtime, retryMs } = this.options;
    while (!signal.aborted) {
      await this.dial(peer, signal);
      await pause(runtime.clock, retryMs * (0.5 + runtime.random()), signal);
    }
  }

  /** Opens one connection to a peer; resolves once it has ended. */
  private dial(peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const { runtime, retryMs } = this.options;
    const { clock, network } = runtime;
    return new Promise((resolve) => {
      const connection = network.connect(parseHostPort(peer.addr));
      const end = () => void connection.destroy();
      const giveUp = clock.setTimer(end, DIAL_PERIODS * retryMs);
      const since = clock.now();
      const lastHeard = () => Math.max(since, this.lastHeard.get(peer.name) ?? -Infinity);
      // What is written to a peer that is cut off stays unacknowledged: it must be dialled anew.
      const silence = this.onSilence(lastHeard, end);
      signal.addEventListener('abort', end);
      connection.on('connect', () => {
        giveUp.cancel();
        this.greet(connection);
        this.out.set(peer.name, { connection, openedAt: clock.now() });
      });
      // Nothing is answered on this connection; bytes that come are dropped.
      connection.on('data', () => {});
      connection.on('error', () => {});
      connection.on('close', () => {
        giveUp.cancel();
        silence.cancel();
        signal.removeEventListener('abort', end);
        if (this.out.get(peer.name)?.connection === connection) this.out.delete(peer.name);
        resolve();
      });
    });
  }

  private greet(connection: Duplex): void {
    const { self, greeting } = this.options;
    connection.write(encodeFrame({ kind: 'hello', name: self }));
    for (const frame of greeting?.() ?? []) connection.write(encodeFrame(frame));
  }

  private receive(connection: Duplex): void {
    const { clock } = this.options.runtime;
    const reader = new FrameReader();
    const order = ++this.accepted;
    let from: string | null = null;
    let heardAt = clock.now();
    const silence = this.onSilence(
      () => heardAt,
      () => connection.destroy(),
    );
    connection.on('error', () => {});
    connection.on('close', () => {
      silence.cancel();
      if (from !== null && this.incoming.get(from)?.order === order) this.incoming.delete(from);
    });
    connection.on('data', (chunk: Buffer) => {
      heardAt = clock.now();
      try {
        for (const frame of reader.push(chunk)) {
          if (frame.kind === 'hello') from = this.greeted(frame.name, connection, order);
          else if (from === null) throw new BadFrame('no hello');
          else {
            this.lastHeard.set(from, heardAt);
            this.heard.next({ from, frame });
          }
        }
      } catch {
        connection.destroy();
      }
    });
  }

  /**
   * A peer that dials anew has given up its earlier connection, or has begun a new life. A cut may have
   * left the earlier one open here without a sign; kept, such connections would in time use up all that
   * are taken. What a cut held back on it may still come, and must not pass for news.
   */
  private greeted(name: string, connection: Duplex, order: number): string {
    if (!this.options.peers.some((peer) => peer.name === name)) throw new BadFrame('unknown peer');
    const known = this.incoming.get(name);
    if (known && known.order > order) throw new BadFrame('an earlier connection of this peer');
    this.incoming.set(name, { connection, order });
    if (known && known.connection !== connection) known.connection.destroy();
    return name;
  }

  /** Acts once nothing was heard for long: a cut leaves connections open without an error. */
  private onSilence(heardAt: () => number, act: () => void): Timer {
    const { runtime, retryMs } = this.options;
    const { clock } = runtime;
    return every(clock, retryMs, () => {
      if ((clock.now() - heardAt()) * 1000 > SILENCES * retryMs) act();
    });
  }
}

function write(connection: Duplex, bytes: Buffer): void {
  if (connection.writableLength < MAX_BACKLOG) connection.write(bytes);
}
