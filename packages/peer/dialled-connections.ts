import type { Duplex } from 'node:stream';
import { parseHostPort, pause, type Runtime } from '#wire';
import { encodeFrame, type Frame } from './frames.js';
import { onSilence } from './silence.js';

export interface PeerAddress {
  name: string;
  addr: string;
}

export interface DialOptions {
  runtime: Runtime;
  /** This controller's name. */
  self: string;
  /** Time between two attempts to reach a peer, give or take a half. */
  retryMs: number;
  /** What a peer is told on each new connection, since it may have missed it. */
  greeting?: () => Frame[];
}

/** Bytes that may wait for a slow peer before frames to it are dropped. */
const MAX_BACKLOG = 1 << 20;
/** Retry periods within which a connection must be open. */
const DIAL_PERIODS = 4;

/** The connections that this controller dials, one to each peer, to speak on. */
export class DialledConnections {
  /** The open ones, and since when each is open; steady seconds. */
  private readonly open = new Map<string, { connection: Duplex; openedAt: number }>();

  constructor(
    private readonly options: DialOptions,
    /** When a peer was last heard; steady seconds, -Infinity if never. */
    private readonly lastReceived: (peer: string) => number,
  ) {}

  /** Sends a frame to all peers that are reachable. */
  send(frame: Frame): void {
    const bytes = encodeFrame(frame);
    for (const { connection } of this.open.values()) write(connection, bytes);
  }

  sendTo(peer: string, frame: Frame): void {
    const connection = this.open.get(peer)?.connection;
    if (connection) write(connection, encodeFrame(frame));
  }

  /** Ends the connection to a peer, to be dialled anew, if it has been open for longer than that. */
  endIfOlder(peer: string, seconds: number): void {
    const open = this.open.get(peer);
    if (open && this.options.runtime.clock.now() - open.openedAt > seconds) {
      open.connection.destroy();
    }
  }

  /** Keeps a connection to the peer until the signal aborts. */
  async keepDialling(peer: PeerAddress, signal: AbortSignal): Promise<void> {
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
      // What is written to a peer that is cut off stays unacknowledged: it must be dialled anew.
      const lastReceivedAt = () => Math.max(since, this.lastReceived(peer.name));
      const silence = onSilence({ clock, retryMs, lastReceivedAt, act: end });
      signal.addEventListener('abort', end);
      connection.on('connect', () => {
        giveUp.cancel();
        this.greet(connection);
        this.open.set(peer.name, { connection, openedAt: clock.now() });
      });
      // Nothing is answered on this connection; bytes that come are dropped.
      connection.on('data', () => {});
      connection.on('error', () => {});
      connection.on('close', () => {
        giveUp.cancel();
        silence.cancel();
        signal.removeEventListener('abort', end);
        if (this.open.get(peer.name)?.connection === connection) this.open.delete(peer.name);
        resolve();
      });
    });
  }

  private greet(connection: Duplex): void {
    const { self, greeting } = this.options;
    connection.write(encodeFrame({ kind: 'hello', name: self }));
    for (const frame of greeting?.() ?? []) connection.write(encodeFrame(frame));
  }
}

function write(connection: Duplex, bytes: Buffer): void {
  if (connection.writableLength < MAX_BACKLOG) connection.write(bytes);
}
