/** Connections that this controller dials, on which it sends. */
import type { Duplex } from 'node:stream';
import { parseHostPort, pause, type Runtime } from '#wire';
import { encodeFrame } from './frame-codec.js';
import type { Frame } from './frames.js';
import { detectSilence } from './silence.js';

/** Another controller. */
export interface PeerAddress {
  name: string;
  /** An IPv4 address and a port, like `10.0.0.1:8080`. */
  addr: string;
}

/** How peers are dialled, and what they are told first. */
export interface DialOptions {
  runtime: Runtime;
  /** This controller's name. */
  self: string;
  /** Time between two attempts to reach a peer, give or take a half. */
  retryMs: number;
  /** Frames that a peer is sent on each new connection, since it may have missed them. */
  greeting?: () => Frame[];
}

/** Bytes that may wait for a slow peer before frames to it are dropped. */
const MAX_BACKLOG_BYTES = 1 << 20;
/** Retry periods within which a connection must be open. */
const CONNECT_PERIODS = 4;
/** The least pause between two attempts, as a share of the retry period. */
const MIN_RETRY_SHARE = 0.5;

/** Keeps one connection to each peer, and sends frames on those that are open. */
export class DialledConnections {
  /** The open ones, and since when each is open; steady seconds. */
  private readonly open = new Map<string, { connection: Duplex; openedAt: number }>();

  constructor(
    private readonly options: DialOptions,
    /** When a peer was last received from; steady seconds, -Infinity if never. */
    private readonly lastReceived: (peer: string) => number,
  ) {}

  /** Sends a frame to all peers that are connected. */
  send(frame: Frame): void {
    const bytes = encodeFrame(frame);
    for (const { connection } of this.open.values()) write(connection, bytes);
  }

  /** Sends a frame to one peer, if it is connected. */
  sendTo(peer: string, frame: Frame): void {
    const connection = this.open.get(peer)?.connection;
    if (connection) write(connection, encodeFrame(frame));
  }

  /** Ends the connection to a peer, to be dialled again, if it has been open for longer than that. */
  closeIfOlderThan(peer: string, seconds: number): void {
    const dialled = this.open.get(peer);
    if (!dialled) return;
    const ageS = this.options.runtime.clock.now() - dialled.openedAt;
    if (ageS > seconds) dialled.connection.destroy();
  }

  /** Keeps a connection to the peer until the signal aborts. */
  async maintainConnection(peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const { runtime, retryMs } = this.options;
    while (!signal.aborted) {
      await this.dial(peer, signal);
      await pause(runtime.clock, retryMs * (MIN_RETRY_SHARE + runtime.random()), signal);
    }
  }

  /** Opens one connection to a peer; resolves once it has ended. */
  private dial(peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const { runtime, retryMs } = this.options;
    const { clock, network } = runtime;
    return new Promise((resolve) => {
      const connection = network.connect(parseHostPort(peer.addr));
      const end = () => void connection.destroy();
      const connectTimer = clock.setTimer(end, CONNECT_PERIODS * retryMs);
      const dialledAt = clock.now();
      // What is sent into a network partition stays unacknowledged: the peer must be dialled again.
      const lastReceivedAt = () => Math.max(dialledAt, this.lastReceived(peer.name));
      const silence = detectSilence({ clock, retryMs, lastReceivedAt, onSilent: end });
      signal.addEventListener('abort', end);
      connection.on('connect', () => {
        connectTimer.cancel();
        this.greet(connection);
        this.open.set(peer.name, { connection, openedAt: clock.now() });
      });
      connection.on('data', () => {
        // Nothing is answered on this connection; reading lets its end be seen.
      });
      connection.on('error', () => {
        // `close` follows, and the peer is dialled again.
      });
      connection.on('close', () => {
        connectTimer.cancel();
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

/** Sends bytes unless too many wait already: no frame has to arrive. */
function write(connection: Duplex, bytes: Buffer): void {
  if (connection.writableLength < MAX_BACKLOG_BYTES) connection.write(bytes);
}
